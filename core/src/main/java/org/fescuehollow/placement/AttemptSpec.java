package org.fescuehollow.placement;

import java.util.Optional;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;

/**
 * One attempt of a request that waits for, or runs on, a backend server.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id unique among all attempts of all nodes
 * @param team the team that sent it
 * @param weight the team's weight
 * @param priority the team's priority
 * @param adapter the adapter it needs; empty for plain services
 * @param arrivedNanos when it arrived here, by the coordinator's monotonic clock
 * @param deadlineNanos the time by which it must have started, by the same clock
 * @param admissionMode the condition under which a coordinator accepts it
 * @param usesElsewhere the highest decayed use count of its adapter that other servers reported
 * @param suspect true if a backend server crashed while it ran the same request
 */
public record AttemptSpec(
        String id,
        String team,
        int weight,
        Priority priority,
        Optional<AdapterRef> adapter,
        long arrivedNanos,
        long deadlineNanos,
        AdmissionMode admissionMode,
        double usesElsewhere,
        boolean suspect) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns how long the attempt has waited.
     *
     * @param now the monotonic time in nanoseconds
     * @return whole milliseconds
     */
    public long waitedMillis(long now) {
        return (now - arrivedNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns whether the attempt needs an adapter.
     *
     * @param ref the adapter
     * @return true if it needs this one
     */
    public boolean needs(AdapterRef ref) {
        return adapter.filter(ref::equals).isPresent();
    }
}
