package org.fescuehollow.responses;

/**
 * What tells the response to a request from the responses to others.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id the id that the server repeats in its response; empty if the request has none
 * @param usedConnection true if the connection was used for an earlier request, so that a response
 *     without an id may be the response to that one
 */
public record RequestIdentity(String id, boolean usedConnection) {
    /** A request without an id, to which servers respond without one. */
    public static final RequestIdentity NONE = new RequestIdentity("", false);
}
