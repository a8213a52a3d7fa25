package org.fescuehollow.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent use of a shared resource by team, compared with each team's weighted fair share.
 *
 * <p>Invariant: counts halve with every half-life; a team that is the only active one is never over
 * its share. Not safe for concurrent use.
 */
final class TeamShares {
    private static final double OVER_SHARE_FACTOR = 1.25;
    private static final double MIN_COUNT = 0.05;
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<String, Double> mDecayedCounts = new HashMap<>();
    private final Map<String, Integer> mWeights = new HashMap<>();
    private long mDecayedAtNanos;

    void recordUse(long now, String team, int weight) {
        decay(now);
        mDecayedCounts.merge(team, 1.0, Double::sum);
        mWeights.put(team, Math.max(1, weight));
    }

    private void decay(long now) {
        double factor = Math.exp(-Math.log(2) * (now - mDecayedAtNanos) / HALF_LIFE_NANOS);
        mDecayedAtNanos = now;
        mDecayedCounts.replaceAll((t, n) -> n * factor);
        mDecayedCounts.values().removeIf(n -> n < MIN_COUNT);
        mWeights.keySet().retainAll(mDecayedCounts.keySet());
    }

    /** Returns the weight of a team's next use: one within the team's share, less beyond it. */
    double useWeight(String team) {
        return Math.min(
                1, fairShare(team) / Math.max(1e-9, mDecayedCounts.getOrDefault(team, 0.0)));
    }

    private double fairShare(String team) {
        double total = mDecayedCounts.values().stream().mapToDouble(Double::doubleValue).sum();
        int weights = mWeights.values().stream().mapToInt(Integer::intValue).sum();
        return weights == 0 ? 0 : total * mWeights.getOrDefault(team, 0) / weights;
    }

    boolean isOverShare(String team) {
        return mDecayedCounts.size() > 1
                && mDecayedCounts.getOrDefault(team, 0.0) > OVER_SHARE_FACTOR * fairShare(team);
    }
}
