package org.fescuehollow.membership;

import java.util.List;

/**
 * A message of the membership protocol; it fits into one datagram.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind the type of the message
 * @param from the sender's id
 * @param incarnation the sender's incarnation
 * @param sequence a number chosen by the requester and repeated in the acknowledgement
 * @param subject the node to probe, or in an acknowledgement the node that responded
 * @param updates piggybacked updates about nodes
 */
public record GossipMessage(
        Kind kind,
        String from,
        long incarnation,
        long sequence,
        String subject,
        List<MemberUpdate> updates) {
    /** Creates the message from a copy of the updates. */
    public GossipMessage {
        updates = List.copyOf(updates);
    }

    /** The type of a message. Immutable and safe for use by any thread. */
    public enum Kind {
        /** Asks the receiver for an acknowledgement. */
        PING,
        /** Confirms that the subject responded. */
        ACK,
        /** Asks the receiver to probe the subject on behalf of the sender. */
        PING_REQUEST
    }
}
