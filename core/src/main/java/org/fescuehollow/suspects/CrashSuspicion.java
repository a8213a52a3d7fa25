package org.fescuehollow.suspects;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The evidence that a trait of requests crashes backend servers.
 *
 * <p>Invariant: merging is commutative, associative and idempotent, so that nodes that have
 * received the same evidence agree, whatever the order. Immutable and safe for use by any thread.
 *
 * @param trait the hash of the trait
 * @param crashes the crashes that ended a request with the trait before its response began, each
 *     with its time on this node's monotonic clock in nanoseconds
 * @param refuted those of the crashes that the trait did not cause
 */
public record CrashSuspicion(long trait, Map<Long, Long> crashes, Set<Long> refuted) {
    /** Copies the collections; what is refuted but not recorded is left out. */
    public CrashSuspicion {
        crashes = Map.copyOf(crashes);
        Set<Long> known = new HashSet<>(refuted);
        known.retainAll(crashes.keySet());
        refuted = Set.copyOf(known);
    }

    /**
     * Adds evidence.
     *
     * @param other the evidence for the same trait
     * @return the evidence of both
     */
    public CrashSuspicion merge(CrashSuspicion other) {
        Map<Long, Long> all = new HashMap<>(crashes);
        other.crashes.forEach((crash, nanos) -> all.merge(crash, nanos, Math::min));
        return new CrashSuspicion(trait, all, union(refuted, other.refuted));
    }

    /**
     * Returns the evidence after crashes turned out not to be caused by the trait.
     *
     * @param cleared the crashes; others than those recorded are ignored
     * @return the evidence
     */
    public CrashSuspicion refute(Set<Long> cleared) {
        return new CrashSuspicion(trait, crashes, union(refuted, cleared));
    }

    /**
     * Returns the crashes that the trait may have caused.
     *
     * @return the crashes that aren't refuted, with their times
     */
    public Map<Long, Long> open() {
        Map<Long, Long> open = new HashMap<>(crashes);
        open.keySet().removeAll(refuted);
        return open;
    }

    /**
     * Returns the number of crashes that the trait may have caused.
     *
     * @return the size of {@link #open}
     */
    public int openCount() {
        return crashes.size() - refuted.size();
    }

    /**
     * Returns whether another node's evidence holds crashes that are refuted here.
     *
     * @param received the other node's evidence for the same trait
     * @return true if the other node should get this evidence
     */
    public boolean corrects(CrashSuspicion received) {
        return received.open().keySet().stream().anyMatch(refuted::contains);
    }

    /** Returns the evidence with only the latest crashes. */
    CrashSuspicion latest(int maxCrashes) {
        if (crashes.size() <= maxCrashes) {
            return this;
        }
        Map<Long, Long> latest =
                crashes.entrySet().stream()
                        .sorted(Map.Entry.<Long, Long>comparingByValue().reversed())
                        .limit(maxCrashes)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new CrashSuspicion(trait, latest, refuted);
    }

    /** Returns whether two pieces of evidence are the same except for the times of crashes. */
    boolean isSameEvidence(CrashSuspicion other) {
        return crashes.keySet().equals(other.crashes.keySet()) && refuted.equals(other.refuted);
    }

    private static Set<Long> union(Set<Long> a, Set<Long> b) {
        Set<Long> union = new HashSet<>(a);
        union.addAll(b);
        return union;
    }
}
