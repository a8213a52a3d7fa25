package org.fescuehollow.exchange;

/**
 * The reply of a peer to the question at which software version a stream began.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind what the peer knows
 * @param version the version; empty unless it is known
 */
public record OriginReply(Kind kind, String version) {
    /** The peer doesn't know the stream. */
    public static final OriginReply UNKNOWN = new OriginReply(Kind.UNKNOWN, "");

    /** The peer was told of several versions. */
    public static final OriginReply CONFLICTING = new OriginReply(Kind.CONFLICTING, "");

    /** What a peer knows of a stream. */
    public enum Kind {
        /** It knows the version. */
        KNOWN,
        /** It knows nothing. */
        UNKNOWN,
        /** It was told of several versions, so the stream can't be resumed by anyone. */
        CONFLICTING
    }

    /**
     * Returns the reply that names a version.
     *
     * @param version the version
     * @return the reply
     */
    public static OriginReply known(String version) {
        return new OriginReply(Kind.KNOWN, version);
    }
}
