package org.fescuehollow.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.model.AdapterRef;

/**
 * Exponential backoff with jitter for the failed loads of each adapter.
 *
 * <p>Invariant: a delay is between half of its exponential step and the whole step, so that nodes
 * whose loads failed at the same time don't retry at the same time. Not safe for concurrent use.
 */
final class LoadBackoff {
    private static final long INITIAL_DELAY_NANOS = Duration.ofMillis(250).toNanos();
    private static final int MAX_DOUBLINGS = 6;

    private final Map<AdapterRef, Failure> mFailures = new HashMap<>();
    private final long mJitterSeed;

    LoadBackoff(long jitterSeed) {
        mJitterSeed = jitterSeed;
    }

    /** The consecutive failures of an adapter, and when the next load is allowed. */
    private record Failure(int count, long retryAtNanos) {}

    void recordFailure(AdapterRef adapter, long now) {
        int count = failureCount(adapter) + 1;
        long step = INITIAL_DELAY_NANOS << Math.min(MAX_DOUBLINGS, count - 1);
        long jitter = Rendezvous.weight(mJitterSeed + count, Rendezvous.hash(adapter.toString()));
        long delay = step / 2 + Long.remainderUnsigned(jitter, step / 2 + 1);
        mFailures.put(adapter, new Failure(count, now + delay));
    }

    void recordSuccess(AdapterRef adapter) {
        mFailures.remove(adapter);
    }

    boolean mayLoad(AdapterRef adapter, long now) {
        Failure f = mFailures.get(adapter);
        return f == null || now >= f.retryAtNanos();
    }

    int failureCount(AdapterRef adapter) {
        Failure f = mFailures.get(adapter);
        return f == null ? 0 : f.count();
    }
}
