package org.fescuehollow.streams;

import java.util.Locale;

/** How the end of a response body is marked. */
public enum BodyFraming {
    /** The head says how many bytes the body has. */
    LENGTH,
    /** The body comes in chunks, the last of which is empty. */
    CHUNKS,
    /** The body ends with its connection, so any further bytes on it count as body. */
    CONNECTION_END;

    /**
     * Returns the framing of a response body.
     *
     * @param transferEncoding the value of the header Transfer-Encoding; empty if missing
     * @param contentLength the value of the header Content-Length; empty if missing
     * @return the framing
     */
    public static BodyFraming of(String transferEncoding, String contentLength) {
        if (transferEncoding.strip().toLowerCase(Locale.ROOT).endsWith("chunked")) {
            return CHUNKS;
        }
        return contentLength.isEmpty() || !transferEncoding.isEmpty() ? CONNECTION_END : LENGTH;
    }
}
