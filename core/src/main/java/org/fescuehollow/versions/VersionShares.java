package org.fescuehollow.versions;

import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.hashing.Rendezvous;

/**
 * How many engines of each software version serve, and the version that each stream gets by that.
 *
 * <p>The choice is a weighted rendezvous hash: a stream draws an exponentially distributed time for
 * each version, divides it by the number of the version's engines, and takes the shortest. So a
 * version gets streams in proportion to its engines, and when the number of one version changes,
 * streams move only to or from that version. All nodes choose alike.
 *
 * <p>Source: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005. Immutable and
 * safe for use by any thread.
 *
 * @param engines the number of engines of each version that has any
 */
public record VersionShares(Map<String, Integer> engines) {
    /** No engine serves. */
    public static final VersionShares NONE = new VersionShares(Map.of());

    /** Copies the map without versions that have no engine. */
    public VersionShares {
        Map<String, Integer> sorted = new TreeMap<>(engines);
        sorted.values().removeIf(count -> count <= 0);
        engines = Collections.unmodifiableMap(sorted);
    }

    /**
     * Counts the engines at which new streams may begin.
     *
     * @param engines all engines
     * @param key the service and base model
     * @return the number for each version
     */
    public static VersionShares count(Collection<Engine> engines, ServiceModel key) {
        Map<String, Integer> counts = new TreeMap<>();
        engines.stream()
                .filter(key::isServedBy)
                .collect(groupingBy(Engine::softwareVersion, counting()))
                .forEach((version, count) -> counts.put(version, count.intValue()));
        return new VersionShares(counts);
    }

    /**
     * Returns whether no engine serves.
     *
     * @return true if there is no version
     */
    public boolean isEmpty() {
        return engines.isEmpty();
    }

    /**
     * Returns the versions.
     *
     * @return the versions that have an engine, in the order of their names
     */
    public Set<String> versions() {
        return engines.keySet();
    }

    /**
     * Returns these shares with one more engine.
     *
     * @param version the engine's version
     * @return the shares
     */
    public VersionShares plus(String version) {
        Map<String, Integer> more = new TreeMap<>(engines);
        more.merge(version, 1, Integer::sum);
        return new VersionShares(more);
    }

    /**
     * Returns these shares for some of the versions.
     *
     * @param accepted whether to keep a version
     * @return the shares; all other streams keep their version
     */
    public VersionShares only(Predicate<String> accepted) {
        Map<String, Integer> kept = new TreeMap<>(engines);
        kept.keySet().removeIf(accepted.negate());
        return new VersionShares(kept);
    }

    /**
     * Chooses the version at which a stream begins.
     *
     * @param streamId the id of the client attempt that begins it
     * @return the version, the same in every process; empty if no engine serves
     */
    public Optional<String> pick(String streamId) {
        if (engines.size() <= 1) {
            return engines.keySet().stream().findFirst();
        }
        long key = Rendezvous.hash(streamId);
        // The order of the names breaks a tie.
        return engines.entrySet().stream()
                .min(Comparator.comparingDouble(e -> drawnTime(key, e.getKey()) / e.getValue()))
                .map(Map.Entry::getKey);
    }

    /** Draws an exponentially distributed time; StrictMath is exact to the bit on all platforms. */
    private static double drawnTime(long key, String version) {
        long bits = Rendezvous.weight(key, Rendezvous.hash(version)) >>> 11;
        return -StrictMath.log((bits + 0.5) * 0x1p-53);
    }
}
