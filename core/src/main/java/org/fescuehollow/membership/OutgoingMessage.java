package org.fescuehollow.membership;

/**
 * A message to send, without guaranteed delivery.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param to the receiver's id
 * @param message the message
 */
public record OutgoingMessage(String to, GossipMessage message) {}
