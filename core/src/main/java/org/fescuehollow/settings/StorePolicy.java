package org.fescuehollow.settings;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehollow.error.FescuehollowException;

/**
 * The weight store's limits and each failure domain's share of them.
 *
 * <p>Invariant: the shares sum to at most one. Immutable and safe for use by any thread.
 *
 * @param loadsPerSecond how many loads may begin in a second over all engines
 * @param inTransit how many loads may be in progress at once over all engines
 * @param shares the share of each failure domain, from zero to one
 */
public record StorePolicy(double loadsPerSecond, int inTransit, Map<String, Double> shares) {
    /**
     * The policy until one is published: one load at a time and one per second in each failure
     * domain.
     */
    public static final StorePolicy DEFAULT = new StorePolicy(1, 1, Map.of());

    /** Creates the policy with a copy of the shares. */
    public StorePolicy {
        shares = Map.copyOf(shares);
    }

    static StorePolicy from(String place, YamlDocument doc) {
        JsonNode tree = doc.tree();
        Map<String, Double> shares = new TreeMap<>();
        tree.path("shares")
                .fields()
                .forEachRemaining(e -> shares.put(e.getKey(), e.getValue().asDouble()));
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum > 1.000_001) {
            throw new FescuehollowException(
                    shouldBeValidSettings(
                            place,
                            doc.lineOf("/shares"),
                            "expected shares that sum to at most 1, got " + sum));
        }
        return new StorePolicy(
                tree.path("loads_per_second").asDouble(), tree.path("in_transit").asInt(), shares);
    }

    /**
     * Returns the share of a failure domain.
     *
     * @param domain the failure domain
     * @return the share from zero to one; one if the policy has no shares
     */
    public double shareOf(String domain) {
        return shares.isEmpty() ? 1.0 : shares.getOrDefault(domain, 0.0);
    }
}
