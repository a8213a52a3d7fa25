package org.fescuehollow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads that wait for a permit, the most urgent first. A want that isn't repeated is forgotten.
 *
 * <p>Invariant: a team that asks for many loads delays the others no longer than until it is over
 * its share. Not safe for concurrent use.
 */
final class WantQueue {
    private static final long FRESH_NANOS = Duration.ofMillis(120).toNanos();

    private final Map<String, Seen> mWants = new HashMap<>();
    private final TeamShares mShares = new TeamShares();
    private Optional<Want> mFirst = Optional.empty();
    private long mFirstNanos;

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
        Optional<Want> first = first(now);
        if (first.isPresent() && order().compare(want, first.get()) < 0) {
            mFirst = Optional.of(want);
        }
        return mFirst.filter(f -> f.key().equals(want.key())).isPresent();
    }

    private Optional<Want> first(long now) {
        if (mFirst.isEmpty() || mFirstNanos != now) {
            forget(now);
            mFirstNanos = now;
            mFirst = mWants.values().stream().map(Seen::want).min(order());
        }
        return mFirst;
    }

    private void forget(long now) {
        mWants.values().removeIf(s -> now - s.seenNanos() > FRESH_NANOS);
    }

    private Comparator<Want> order() {
        return Comparator.comparing(this::urgencyOf).thenComparing(Want::key);
    }

    private Urgency urgencyOf(Want want) {
        return new Urgency(mShares.isOver(want.team()), want.priority(), want.waitedMillis());
    }

    void granted(long now, Want want) {
        mWants.remove(want.key());
        mFirst = Optional.empty();
        mShares.took(now, want.team(), want.weight());
    }

    /** Returns the urgency of the first want. */
    Optional<Urgency> urgency(long now) {
        return first(now).map(this::urgencyOf);
    }
}
