package org.fescuehollow.server.admin;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** Files that ship with the process. Stateless and safe for use by any thread. */
final class Resources {
    private Resources() {}

    /** Returns the description of the administration API. */
    static byte[] openApi() {
        try (InputStream in = Resources.class.getResourceAsStream("/openapi.json")) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
