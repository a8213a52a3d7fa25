package org.fescuehollow.dispatch;

/**
 * A part of a prompt that other requests may share.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id the id, which is equal for segments with the same text
 * @param tokens the length in tokens
 */
public record PromptSegment(String id, int tokens) {}
