package org.fescuehollow.gateway.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports for the servers of nodes. */
final class FreePorts {
    private static final System.Logger LOG = System.getLogger(FreePorts.class.getName());

    /** Ports below those that the operating system chooses for others. */
    private static final int MIN_PORT = 12_000;

    private static final int MAX_PORT = 30_000;

    private FreePorts() {}

    /** Returns a free port, by its parity unlike that of the node's other server. */
    static int find(int parity) {
        while (true) {
            int port = 2 * ThreadLocalRandom.current().nextInt(MIN_PORT / 2, MAX_PORT / 2) + parity;
            try (ServerSocket s = new ServerSocket(port)) {
                return s.getLocalPort();
            } catch (BindException e) {
                LOG.log(System.Logger.Level.DEBUG, "port {0} is in use", port);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
