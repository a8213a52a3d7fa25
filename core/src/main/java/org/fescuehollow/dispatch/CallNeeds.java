package org.fescuehollow.dispatch;

import java.util.List;
import org.fescuehollow.catalog.AdapterKey;

/**
 * What the decisions need to know of one request.
 *
 * <p>Immutable and safe for use by any thread. Times are by the monotonic clock.
 *
 * @param id the caller's id of the request
 * @param service the service that its route leads to
 * @param adapter the adapter it names; {@link AdapterKey#NONE} for plain services
 * @param version the least version of the adapter that will do; 0 if any
 * @param promptTokens tokens to read
 * @param outputTokens tokens expected to be written
 * @param parts the shared parts of its prompt in order
 * @param rank its priority, 0 being the most urgent
 * @param arrivedNanos when it arrived
 * @param targetNanos when its latency objective ends
 * @param deadlineNanos when its final answer is due
 * @param resumed true for what remains of a stream that lost its engine
 */
public record CallNeeds(
        String id,
        String service,
        AdapterKey adapter,
        long version,
        int promptTokens,
        int outputTokens,
        List<PromptPart> parts,
        int rank,
        long arrivedNanos,
        long targetNanos,
        long deadlineNanos,
        boolean resumed) {
    /** Copies the list. */
    public CallNeeds {
        parts = List.copyOf(parts);
    }

    /**
     * Returns what remains of a stream that lost its engine. It asks for an engine anew, with the
     * objective that its next event comes as soon as the first one of a new request.
     *
     * @param now the monotonic time in nanoseconds
     * @return the same request as if it came now, with the deadline that it had
     */
    public CallNeeds interruptedAt(long now) {
        return new CallNeeds(
                id,
                service,
                adapter,
                version,
                promptTokens,
                outputTokens,
                parts,
                rank,
                now,
                now + targetNanos - arrivedNanos,
                deadlineNanos,
                true);
    }

    /**
     * Returns the memory that the request takes on an engine.
     *
     * @return tokens read and written
     */
    public int cacheTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Tells whether the request runs on a model engine.
     *
     * @return false for plain services
     */
    public boolean needsModel() {
        return !adapter.model().isEmpty();
    }
}
