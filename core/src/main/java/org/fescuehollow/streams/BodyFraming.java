package org.fescuehollow.streams;

import java.util.stream.Stream;

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
     * @param transferEncoding the values of the header Transfer-Encoding, separated by commas;
     *     empty if missing
     * @param contentLength the value of the header Content-Length; empty if missing
     * @return the framing
     */
    public static BodyFraming of(String transferEncoding, String contentLength) {
        if (Stream.of(transferEncoding.split(","))
                .anyMatch(e -> e.strip().equalsIgnoreCase("chunked"))) {
            return CHUNKS;
        }
        return contentLength.isEmpty() || !transferEncoding.isEmpty() ? CONNECTION_END : LENGTH;
    }
}
