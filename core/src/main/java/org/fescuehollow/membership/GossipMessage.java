package org.fescuehollow.membership;

import java.util.List;

/**
 * One message of the membership protocol; fits a datagram.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind what the message asks or answers
 * @param from the sender's id
 * @param incarnation the sender's incarnation
 * @param sequence chosen by whoever asked; an answer repeats it
 * @param subject the node that a request is about, or that an answer speaks for
 * @param updates news about nodes
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

    /** What a message asks or answers. Immutable and safe for use by any thread. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** The subject is there. */
        ACK,
        /** Please ask the subject for me. */
        PING_REQUEST
    }
}
