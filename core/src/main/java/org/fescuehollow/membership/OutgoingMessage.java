package org.fescuehollow.membership;

/**
 * A message to be sent, unreliably.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param to the receiver's id
 * @param message the message
 */
public record OutgoingMessage(String to, GossipMessage message) {}
