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
 * @param minVersion the least version of the adapter that will do; 0 if any
 * @param promptTokens tokens to read
 * @param expectedOutputTokens tokens expected to be written
 * @param promptSegments the shared parts of its prompt in order
 * @param rank its priority, 0 being the most urgent
 * @param arrivalNanos when it arrived
 * @param objectiveNanos when its latency objective ends
 * @param deadlineNanos when its final answer is due
 * @param resumed true for what remains of a stream that lost its engine
 */
public record DispatchRequest(
        String id,
        String service,
        AdapterKey adapter,
        long minVersion,
        int promptTokens,
        int expectedOutputTokens,
        List<PromptSegment> promptSegments,
        int rank,
        long arrivalNanos,
        long objectiveNanos,
        long deadlineNanos,
        boolean resumed) {
    /** Copies the list. */
    public DispatchRequest {
        promptSegments = List.copyOf(promptSegments);
    }

    /**
     * Returns what remains of a stream that lost its engine. It asks for an engine anew, with the
     * objective that its next event comes as soon as the first one of a new request.
     *
     * @param now the monotonic time in nanoseconds
     * @return the same request as if it came now, with the deadline that it had
     */
    public DispatchRequest resumedAt(long now) {
        return new DispatchRequest(
                id,
                service,
                adapter,
                minVersion,
                promptTokens,
                expectedOutputTokens,
                promptSegments,
                rank,
                now,
                now + objectiveNanos - arrivalNanos,
                deadlineNanos,
                true);
    }

    /**
     * Returns the memory that the request takes on an engine.
     *
     * @return tokens read and written
     */
    public int kvCacheTokens() {
        return promptTokens + expectedOutputTokens;
    }

    /**
     * Tells whether the request runs on a model engine.
     *
     * @return false for plain services
     */
    public boolean needsModelEngine() {
        return !adapter.model().isEmpty();
    }
}
