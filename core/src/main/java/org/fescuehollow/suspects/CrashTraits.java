package org.fescuehollow.suspects;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.hashing.Rendezvous;

/**
 * Finds what requests that crash backend servers have in common, such as a part of their prompts,
 * and blocks requests with that trait.
 *
 * <p>Load pattern: requests that are all different share a trait that crashes each server that
 * begins to answer one, or one such request comes again and again. They arrive at any node, among
 * sound requests that share their other traits and that lose their answers in the same crashes.
 *
 * <p>A crash casts suspicion on the traits of all requests that it ended before their responses
 * began. A trait is cleared by the next response to a request with it, on any node, and all traits
 * by a response of the server itself. A trait that stays suspect through {@link #CRASH_LIMIT}
 * crashes is blocked; those crashes then count against no trait with fewer of them. Traits that
 * were suspect in the same crashes only are blocked together: a request with some of them is sent,
 * and tells which of them it is.
 *
 * <p>Invariants: an incarnation of a server counts once for each trait; servers that crash together
 * block nothing; at most {@link #MAX_TRAITS} traits are held; evidence is dropped {@link
 * #RETENTION} after the last crash. Not safe for concurrent use.
 */
public final class CrashTraits {
    /** The number of crashes after which a trait is blocked. */
    public static final int CRASH_LIMIT = 3;

    /** The maximum number of traits held. */
    public static final int MAX_TRAITS = 1_024;

    /** The time from the last crash until the evidence for a trait is dropped. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /** The shortest time between the first and the last crash; many servers may fail together. */
    private static final Duration MIN_SPAN = Duration.ofMillis(400);

    /** Shorter than a restart, so that a response within this time comes from the same process. */
    private static final Duration MIN_RESTART = Duration.ofMillis(1_500);

    /** The number of crashes that are kept for a trait, the latest ones. */
    private static final int MAX_CRASHES_PER_TRAIT = 16;

    /** Evidence is looked through for what has expired this often. */
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Map<Long, CrashSuspicion> mSuspicions = new LinkedHashMap<>();
    private long mExpiryCheckNanos;

    /**
     * Returns the identity that a crash of a server has on every node.
     *
     * @param server the incarnation of the server
     * @return the hash of the incarnation
     */
    public static long crashOf(Engine server) {
        return Rendezvous.weight(Rendezvous.hash(server.id()), server.startedMillis());
    }

    /**
     * Records that a server crashed before it began to answer a request.
     *
     * @param traits the request's traits
     * @param crash the identity of the crash
     * @param now the monotonic time in nanoseconds
     * @return the changed evidence, to be told to the other nodes
     */
    public List<CrashSuspicion> onCrash(Collection<Long> traits, long crash, long now) {
        return traits.stream()
                .distinct()
                .map(t -> merge(new CrashSuspicion(t, Map.of(crash, now), Set.of()), now))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Records that a server began to answer a request.
     *
     * @param traits the request's traits, which crash no server
     * @param crash the identity that a crash of the server has
     * @param sentNanos when the request was sent to the server
     * @param now the monotonic time in nanoseconds
     * @return the changed evidence, to be told to the other nodes
     */
    public List<CrashSuspicion> onAnswered(
            Collection<Long> traits, long crash, long sentNanos, long now) {
        List<CrashSuspicion> refuted =
                mSuspicions.values().stream()
                        .filter(s -> s.openCount() > 0)
                        .flatMap(s -> refute(s, traits, crash, sentNanos, now).stream())
                        .toList();
        refuted.forEach(s -> mSuspicions.put(s.trait(), s));
        return refuted;
    }

    private static Optional<CrashSuspicion> refute(
            CrashSuspicion s, Collection<Long> traits, long crash, long sentNanos, long now) {
        if (traits.contains(s.trait())) {
            return Optional.of(s.refute(s.crashes().keySet()));
        }
        Long crashNanos = s.crashes().get(crash);
        boolean alive =
                crashNanos != null
                        && sentNanos > crashNanos
                        && now - crashNanos < MIN_RESTART.toNanos()
                        && !s.refuted().contains(crash);
        return alive ? Optional.of(s.refute(Set.of(crash))) : Optional.empty();
    }

    /**
     * Adds evidence of this or another node.
     *
     * @param suspicion the evidence
     * @param now the monotonic time in nanoseconds
     * @return the evidence of both if it changed, otherwise empty
     */
    public Optional<CrashSuspicion> merge(CrashSuspicion suspicion, long now) {
        removeExpired(now);
        CrashSuspicion known = mSuspicions.get(suspicion.trait());
        CrashSuspicion merged =
                (known == null ? suspicion : known.merge(suspicion)).latest(MAX_CRASHES_PER_TRAIT);
        boolean unchanged = known != null && known.isSameEvidence(merged);
        if (unchanged || isExpired(merged, now)) {
            return Optional.empty();
        }
        mSuspicions.put(merged.trait(), merged);
        if (mSuspicions.size() > MAX_TRAITS) {
            mSuspicions.remove(leastSuspect());
        }
        return Optional.of(merged);
    }

    private void removeExpired(long now) {
        if (now - mExpiryCheckNanos >= EXPIRY_CHECK_INTERVAL.toNanos()) {
            mExpiryCheckNanos = now;
            mSuspicions.values().removeIf(s -> isExpired(s, now));
        }
    }

    private static boolean isExpired(CrashSuspicion s, long now) {
        return s.crashes().values().stream().allMatch(t -> now - t >= RETENTION.toNanos());
    }

    /** Returns the trait with the fewest open crashes, and of these the one known longest. */
    private long leastSuspect() {
        return mSuspicions.values().stream()
                .min(Comparator.comparingInt(CrashSuspicion::openCount))
                .orElseThrow()
                .trait();
    }

    /**
     * Returns the evidence for a trait.
     *
     * @param trait the hash of the trait
     * @return the evidence, or empty if there is none
     */
    public Optional<CrashSuspicion> find(long trait) {
        return Optional.ofNullable(mSuspicions.get(trait));
    }

    /**
     * Returns whether there is no evidence, so that no request is blocked or can clear a trait.
     *
     * @return true if the traits of requests don't matter now
     */
    public boolean isEmpty() {
        return mSuspicions.isEmpty();
    }

    /**
     * Finds a blocked trait among those of a request.
     *
     * @param traits the request's traits
     * @param now the monotonic time in nanoseconds
     * @return the trait, or empty if the request may be sent
     */
    public Optional<Long> findBlocked(Collection<Long> traits, long now) {
        return mSuspicions.isEmpty()
                ? Optional.empty()
                : traits.stream()
                        .filter(t -> isBlocked(t, now) && traits.containsAll(companions(t)))
                        .findFirst();
    }

    /** Returns the traits that were suspect in the same crashes as a trait, itself included. */
    private List<Long> companions(long trait) {
        Set<Long> crashes = mSuspicions.get(trait).open().keySet();
        return mSuspicions.values().stream()
                .filter(s -> s.openCount() == crashes.size() && s.open().keySet().equals(crashes))
                .map(CrashSuspicion::trait)
                .toList();
    }

    /**
     * Returns whether requests with a trait, and with those that were suspect in the same crashes,
     * are blocked.
     *
     * @param trait the hash of the trait
     * @param now the monotonic time in nanoseconds
     * @return true if such requests would probably crash the server
     */
    public boolean isBlocked(long trait, long now) {
        CrashSuspicion s = mSuspicions.get(trait);
        boolean few = s == null || s.openCount() < CRASH_LIMIT || isExpired(s, now);
        if (few || !isEnough(s.open())) {
            return false;
        }
        Map<Long, Long> unexplained = new HashMap<>(s.open());
        mSuspicions.values().stream()
                .filter(other -> other.openCount() > s.openCount())
                .map(CrashSuspicion::open)
                .filter(CrashTraits::isEnough)
                .forEach(open -> unexplained.keySet().removeAll(open.keySet()));
        return isEnough(unexplained);
    }

    private static boolean isEnough(Map<Long, Long> crashes) {
        return crashes.size() >= CRASH_LIMIT
                && Collections.max(crashes.values()) - Collections.min(crashes.values())
                        >= MIN_SPAN.toNanos();
    }

    /**
     * Returns the evidence that a node which has just started needs most.
     *
     * @param limit the maximum number of traits
     * @return the open suspicions, those with the most crashes first
     */
    public List<CrashSuspicion> openSuspicions(int limit) {
        return mSuspicions.values().stream()
                .filter(s -> s.openCount() > 0)
                .sorted(Comparator.comparingInt((CrashSuspicion s) -> -s.openCount()))
                .limit(limit)
                .toList();
    }

    /**
     * Returns the blocked traits.
     *
     * @param now the monotonic time in nanoseconds
     * @return their hashes
     */
    public List<Long> blocked(long now) {
        return mSuspicions.keySet().stream().filter(t -> isBlocked(t, now)).toList();
    }
}
