package org.fescuehollow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads that wait for a permit, in the order in which they should get one.
 *
 * <p>The higher class goes first; within a class, teams share permits by weight, and within a team
 * the load goes first whose requests have waited longest in sum. A want that isn't repeated is
 * forgotten.
 *
 * <p>Invariant: a team that asks for many loads delays only its own. Not safe for concurrent use.
 */
final class WantQueue {
    private static final long FRESH_NANOS = Duration.ofMillis(60).toNanos();

    private final Map<String, Seen> mWants = new HashMap<>();
    private final Map<String, Double> mFinish = new HashMap<>();
    private Optional<Want> mFirst = Optional.empty();
    private long mFirstNanos;
    private double mVirtualTime;

    /** A want and when it was last repeated. */
    private record Seen(Want want, long seenNanos) {}

    /** Takes or repeats a want. */
    void note(long now, Want want) {
        mWants.put(want.key(), new Seen(want, now));
    }

    /**
     * Tells whether a want goes first. The first is sought once for each time; a want noted later
     * at the same time goes first if nothing known goes before it.
     */
    boolean isFirst(long now, Want want) {
        Comparator<Want> order = order();
        if (mFirst.isEmpty() || mFirstNanos != now) {
            forget(now);
            mFirstNanos = now;
            mFirst = mWants.values().stream().map(Seen::want).min(order);
        } else if (order.compare(want, mFirst.get()) < 0) {
            mFirst = Optional.of(want);
        }
        return mFirst.filter(f -> f.key().equals(want.key())).isPresent();
    }

    private void forget(long now) {
        mWants.values().removeIf(s -> now - s.seenNanos() > FRESH_NANOS);
    }

    private Comparator<Want> order() {
        return Comparator.comparing(Want::priority)
                .thenComparingDouble(w -> startOf(w.team()))
                .thenComparing(Comparator.comparingDouble(Want::waitedMillis).reversed())
                .thenComparing(Want::key);
    }

    private double startOf(String team) {
        return Math.max(mVirtualTime, mFinish.getOrDefault(team, 0.0));
    }

    void granted(Want want) {
        mWants.remove(want.key());
        mFirst = Optional.empty();
        double start = startOf(want.team());
        mFinish.put(want.team(), start + 1.0 / Math.max(1, want.weight()));
        mVirtualTime = Math.max(mVirtualTime, start);
        mFinish.values().removeIf(f -> f <= mVirtualTime);
    }

    boolean isEmpty(long now) {
        forget(now);
        return mWants.isEmpty();
    }
}
