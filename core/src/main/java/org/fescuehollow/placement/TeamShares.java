package org.fescuehollow.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Who has taken more than its share of permits lately.
 *
 * <p>Invariant: counts halve with every half-life; with one active team, that team is never over
 * its share. Not safe for concurrent use.
 */
final class TeamShares {
    private static final double TOLERANCE = 1.25;
    private static final double FORGOTTEN = 0.05;
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<String, Double> mTaken = new HashMap<>();
    private final Map<String, Integer> mWeights = new HashMap<>();
    private long mAgedNanos;

    void took(long now, String team, int weight) {
        age(now);
        mTaken.merge(team, 1.0, Double::sum);
        mWeights.put(team, Math.max(1, weight));
    }

    private void age(long now) {
        double factor = Math.exp(-Math.log(2) * (now - mAgedNanos) / HALF_LIFE_NANOS);
        mAgedNanos = now;
        mTaken.replaceAll((t, n) -> n * factor);
        mTaken.values().removeIf(n -> n < FORGOTTEN);
        mWeights.keySet().retainAll(mTaken.keySet());
    }

    /** What one more counts: one within the team's share, less beyond it. */
    double worth(String team) {
        return Math.min(1, fairShare(team) / Math.max(1e-9, mTaken.getOrDefault(team, 0.0)));
    }

    private double fairShare(String team) {
        double total = mTaken.values().stream().mapToDouble(Double::doubleValue).sum();
        int weights = mWeights.values().stream().mapToInt(Integer::intValue).sum();
        return weights == 0 ? 0 : total * mWeights.getOrDefault(team, 0) / weights;
    }

    boolean isOver(String team) {
        return mTaken.size() > 1 && mTaken.getOrDefault(team, 0.0) > TOLERANCE * fairShare(team);
    }
}
