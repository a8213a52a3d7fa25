package org.fescuehollow.server;

import java.security.SecureRandom;
import java.time.Instant;

/** Names lives of processes. Stateless and safe for use by any thread. */
final class Incarnation {
    private Incarnation() {}

    /** Returns a name that no other life of any process has; later lives sort later. */
    static String next() {
        long random = new SecureRandom().nextLong();
        return Long.toHexString(Instant.now().toEpochMilli()) + "-" + Long.toHexString(random);
    }
}
