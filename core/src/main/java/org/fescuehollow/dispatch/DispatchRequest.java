package org.fescuehollow.dispatch;

import java.util.List;
import java.util.Optional;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;

/**
 * The properties of a request that decide its placement.
 *
 * <p>Immutable and safe for use by any thread. Times are monotonic, in nanoseconds.
 *
 * @param id the request's id on this node
 * @param service the service that the route selected
 * @param adapter the requested adapter; {@link AdapterKey#NONE} for plain services
 * @param minVersion the lowest acceptable version of the adapter; 0 accepts any
 * @param promptTokens length of the prompt in tokens
 * @param expectedOutputTokens expected number of generated tokens
 * @param promptSegments the prompt's shareable segments in order
 * @param rank the priority; 0 is the most urgent
 * @param arrivalNanos when the request arrived
 * @param objectiveNanos when its latency objective ends
 * @param deadlineNanos when the response must be complete
 * @param resumed true if the request continues a stream that lost its engine
 * @param softwareVersion the only version of the engines' software that may run it; empty if any
 *     may
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
        boolean resumed,
        Optional<String> softwareVersion) {
    /** Copies the segments. */
    public DispatchRequest {
        promptSegments = List.copyOf(promptSegments);
    }

    /**
     * Returns the request that resumes this stream after it lost its engine. The latency objective
     * starts again at the given time, as for the first event of a new request.
     *
     * @param now the monotonic time in nanoseconds
     * @return the request, arriving now, with its original deadline
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
                true,
                softwareVersion);
    }

    /**
     * Returns this request for engines of one software version.
     *
     * @param version the only version that may run it; empty if any may
     * @return the request
     */
    public DispatchRequest withSoftwareVersion(Optional<String> version) {
        return new DispatchRequest(
                id,
                service,
                adapter,
                minVersion,
                promptTokens,
                expectedOutputTokens,
                promptSegments,
                rank,
                arrivalNanos,
                objectiveNanos,
                deadlineNanos,
                resumed,
                version);
    }

    /**
     * Returns whether an engine's software may run this request.
     *
     * @param engine the engine
     * @return true if the request accepts any version or that of the engine
     */
    public boolean acceptsSoftwareOf(Engine engine) {
        return softwareVersion.isEmpty() || softwareVersion.get().equals(engine.softwareVersion());
    }

    /**
     * Returns the KV cache that the request needs on an engine.
     *
     * @return prompt tokens plus expected output tokens
     */
    public int kvCacheTokens() {
        return promptTokens + expectedOutputTokens;
    }

    /**
     * Returns whether the request runs on a model engine.
     *
     * @return false for plain services
     */
    public boolean needsModelEngine() {
        return !adapter.model().isEmpty();
    }
}
