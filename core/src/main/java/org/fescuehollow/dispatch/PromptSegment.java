package org.fescuehollow.dispatch;

/**
 * A part of a prompt that other requests may share.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id the part's id
 * @param tokens its length in tokens
 */
public record PromptSegment(String id, int tokens) {}
