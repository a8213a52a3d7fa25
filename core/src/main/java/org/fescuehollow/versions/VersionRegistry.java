package org.fescuehollow.versions;

import static java.util.stream.Collectors.toMap;
import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescuehollow.catalog.BoundedMap;
import org.fescuehollow.catalog.Engine;

/**
 * The software versions of all services, as this node reads them from the store.
 *
 * <p>Counts the entries as the store holds them, not as engines or other nodes report them, so that
 * all nodes count alike. Changes have to be passed one by one in the order of the store.
 *
 * <p>Failure patterns: a node that can't reach the store goes on beginning streams by old shares,
 * and one that listed the entries anew has missed what changed before. Neither derives versions
 * until it knows again what the other nodes have in force. While other nodes confirm the entries
 * that it has, a node needn't reach the store itself; once they have others, or it no longer hears
 * them, it begins no streams. If none reaches the store, nothing changes, and all go on.
 *
 * <p>Times are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class VersionRegistry {
    private static final int MAX_HISTORIES = 1_024;

    private static final int MAX_UNUSABLE = 1_024;

    private final Duration mAdoptionDelay;
    private final Map<String, Engine> mEntries = new HashMap<>();
    private final Map<ServiceModel, VersionHistory> mHistories = new HashMap<>();
    private final Map<Served, Long> mUnusableSince = new BoundedMap<>(MAX_UNUSABLE);
    private Set<Served> mUsable = Set.of();
    private boolean mListed;
    private long mListedNanos;
    private long mLastRead;
    private long mKnownFrom;
    private long mSettledFrom;
    private long mFingerprint;
    private long mPeersDifferNanos = Long.MIN_VALUE;
    private OptionalLong mPeerHeard = OptionalLong.empty();

    /** A version of a service that an engine in use has. */
    private record Served(ServiceModel key, String version) {}

    /**
     * Creates a registry that knows no engines.
     *
     * @param adoptionDelay the time within which every node that reaches the store reads a change,
     *     with a margin
     */
    public VersionRegistry(Duration adoptionDelay) {
        mAdoptionDelay = adoptionDelay;
    }

    /**
     * Handles a complete listing of the entries that can be read.
     *
     * @param entries the engines
     * @param now the current time
     */
    public void onListed(Collection<Engine> entries, long now) {
        Map<String, Engine> listed =
                entries.stream().collect(toMap(Engine::id, Function.identity(), (a, b) -> b));
        if (!mListed || isStale(now) || !servesAlike(listed)) {
            mKnownFrom = now;
            mHistories.values().forEach(h -> h.onGap(now));
        }
        onStoreRead(now);
        mListed = true;
        mListedNanos = now;
        Set<ServiceModel> keys = new HashSet<>();
        mEntries.values().forEach(e -> keys.addAll(ServiceModel.of(e)));
        mEntries.clear();
        mEntries.putAll(listed);
        mFingerprint = 0;
        mEntries.values().forEach(e -> mFingerprint ^= Serving.fingerprint(e));
        mEntries.values().forEach(e -> keys.addAll(ServiceModel.of(e)));
        keys.forEach(k -> record(k, now));
    }

    private boolean servesAlike(Map<String, Engine> listed) {
        return listed.keySet().equals(mEntries.keySet())
                && listed.values().stream().allMatch(e -> Serving.isSame(e, mEntries.get(e.id())));
    }

    /**
     * Handles an entry that was written.
     *
     * @param engine the engine as the entry describes it
     * @param now the current time
     */
    public void onEntry(Engine engine, long now) {
        replace(Optional.ofNullable(mEntries.put(engine.id(), engine)), Optional.of(engine), now);
    }

    /**
     * Handles an entry that was removed, or that names no engine.
     *
     * @param id the engine's id
     * @param now the current time
     */
    public void onRemoved(String id, long now) {
        replace(Optional.ofNullable(mEntries.remove(id)), Optional.empty(), now);
    }

    private void replace(Optional<Engine> before, Optional<Engine> after, long now) {
        if (Serving.isSame(before.orElse(null), after.orElse(null))) {
            return;
        }
        before.ifPresent(e -> mFingerprint ^= Serving.fingerprint(e));
        after.ifPresent(e -> mFingerprint ^= Serving.fingerprint(e));
        Set<ServiceModel> keys = new HashSet<>();
        before.ifPresent(e -> keys.addAll(ServiceModel.of(e)));
        after.ifPresent(e -> keys.addAll(ServiceModel.of(e)));
        keys.forEach(k -> record(k, now));
    }

    private void record(ServiceModel key, long now) {
        VersionShares shares = VersionShares.count(mEntries.values(), key);
        if (shares.isEmpty() && !mHistories.containsKey(key)) {
            return;
        }
        history(key, now).onRead(shares, now);
    }

    private VersionHistory history(ServiceModel key, long now) {
        if (!mHistories.containsKey(key) && mHistories.size() >= MAX_HISTORIES) {
            forgetUnused(now);
        }
        return mHistories.computeIfAbsent(key, k -> new VersionHistory(mAdoptionDelay, mKnownFrom));
    }

    /** Forgets histories without engines; what they said is unknown from then on. */
    private void forgetUnused(long now) {
        Set<ServiceModel> served =
                mEntries.values().stream()
                        .flatMap(e -> ServiceModel.of(e).stream())
                        .collect(toSet());
        if (mHistories.keySet().retainAll(served)) {
            mKnownFrom = now;
        }
    }

    /**
     * Adds what the store's history tells about the time before the last listing.
     *
     * @param replay the replayed history
     * @param now the time at which the history was read
     */
    public void seed(VersionReplay.Result replay, long now) {
        replay.shares().keySet().forEach(k -> history(k, now));
        mHistories.forEach(
                (key, history) ->
                        history.seed(
                                replay.shares().getOrDefault(key, List.of()),
                                replay.covered(),
                                mListedNanos,
                                now));
        mKnownFrom = Math.min(mKnownFrom, now - replay.covered().toNanos());
    }

    /**
     * Handles an answer of the store; all changes before it have been passed.
     *
     * @param now the current time
     */
    public void onStoreRead(long now) {
        if (isStale(now)) {
            mSettledFrom = now + mAdoptionDelay.toNanos();
        }
        mLastRead = Math.max(mLastRead, now);
    }

    /**
     * Returns a hash of the entries, to be told to other nodes while {@link #isStale} is false.
     *
     * @return the same on all nodes that read the same entries
     */
    public long fingerprint() {
        return mFingerprint;
    }

    /**
     * Returns when the entries were last read or confirmed.
     *
     * @return the time
     */
    public long lastReadNanos() {
        return mLastRead;
    }

    /**
     * Handles the word of another node about its entries.
     *
     * @param fingerprint the other node's {@link #fingerprint}
     * @param readNanos when it read or confirmed them, at the earliest
     */
    public void onPeerRead(long fingerprint, long readNanos) {
        if (!mListed || readNanos <= mLastRead) {
            return;
        }
        if (fingerprint == mFingerprint) {
            mLastRead = readNanos;
        } else {
            mPeersDifferNanos = Math.max(mPeersDifferNanos, readNanos);
        }
    }

    /**
     * Handles any message of another node, also of one that can't reach the store.
     *
     * @param now the current time
     */
    public void onPeerHeard(long now) {
        mPeerHeard = OptionalLong.of(now);
    }

    /**
     * Returns whether other nodes have adopted shares that this node can't read, or may have as it
     * hears none of them any more, so that it begins no streams.
     *
     * @param now the current time
     * @return true until it reaches the store, other nodes confirm its entries, or it hears that
     *     they can't reach the store either
     */
    public boolean isOutdated(long now) {
        long limit = 2 * mAdoptionDelay.toNanos();
        boolean alone = mPeerHeard.isPresent() && now - mPeerHeard.getAsLong() > limit;
        return now - mLastRead > limit && (alone || mPeersDifferNanos > mLastRead);
    }

    /**
     * Replaces the engines in use.
     *
     * @param engines the engines to which this node may send requests; draining ones are ignored
     */
    public void setInUse(Collection<Engine> engines) {
        mUsable =
                engines.stream()
                        .filter(e -> !e.draining())
                        .flatMap(
                                e ->
                                        ServiceModel.of(e).stream()
                                                .map(k -> new Served(k, e.softwareVersion())))
                        .collect(toSet());
    }

    /**
     * Returns whether other nodes may begin streams by shares that this node hasn't read.
     *
     * @param now the current time
     * @return true if the last answer of the store is older than the adoption delay
     */
    public boolean isStale(long now) {
        return !mListed || now - mLastRead > mAdoptionDelay.toNanos();
    }

    /**
     * Chooses the version at which a new stream begins. To be called anew for each placement until
     * the first event has been relayed.
     *
     * @param service the service
     * @param model the base model
     * @param id the id of the client attempt
     * @param now the current time
     * @return the version; empty if no engine in use serves, if this node {@link #isOutdated}, or
     *     if it isn't settled yet which shares other nodes have in force, which takes an adoption
     *     delay at most
     */
    public Optional<String> pick(String service, String model, String id, long now) {
        if (isOutdated(now)) {
            return Optional.empty();
        }
        ServiceModel key = new ServiceModel(service, model);
        Set<String> read = VersionShares.count(mEntries.values(), key).versions();
        Predicate<String> usable = v -> isUsable(new Served(key, v), read.contains(v), now);
        return find(key)
                .filter(h -> now >= mSettledFrom || h.isSettled(id, usable, now))
                .flatMap(h -> h.pick(id, usable, now));
    }

    /**
     * Works out at which version a stream began.
     *
     * @param service the service
     * @param model the base model
     * @param id the id of the client attempt that began it
     * @param streamLife how long ago it began at most
     * @param now the current time
     * @return the version, or empty if it isn't certain
     */
    public Optional<String> derive(
            String service, String model, String id, Duration streamLife, long now) {
        return fresh(service, model, now).flatMap(h -> h.derive(id, window(streamLife), now));
    }

    /**
     * Returns the version at which all streams that may be resumed began.
     *
     * @param service the service
     * @param model the base model
     * @param streamLife how long ago they began at most
     * @param now the current time
     * @return the version, or empty if there were several or it isn't certain
     */
    public Optional<String> single(String service, String model, Duration streamLife, long now) {
        return fresh(service, model, now).flatMap(h -> h.single(window(streamLife), now));
    }

    /**
     * Returns whether a node that resumes a stream may be unable to derive its version, so that it
     * has to be told.
     *
     * @param service the service
     * @param model the base model
     * @param id the id of the client attempt that began it
     * @param streamLife how long ago it began at most
     * @param now the current time
     * @return true if this node can't derive it, or chose it before the change was adopted
     */
    public boolean isAmbiguous(
            String service, String model, String id, Duration streamLife, long now) {
        Duration window = window(streamLife);
        return fresh(service, model, now).filter(h -> !h.isAmbiguous(id, window, now)).isEmpty()
                || !derive(service, model, id, streamLife, now)
                        .equals(pick(service, model, id, now));
    }

    /**
     * Returns whether streams may get a version. One that the store lists, although none of its
     * engines is in use here, is expected to leave; if it stays, the other nodes go on choosing it.
     */
    private boolean isUsable(Served version, boolean listed, long now) {
        if (mUsable.contains(version) || !listed) {
            mUnusableSince.remove(version);
            return mUsable.contains(version);
        }
        long since = mUnusableSince.computeIfAbsent(version, v -> now);
        return now - since > 2 * mAdoptionDelay.toNanos();
    }

    private Optional<VersionHistory> fresh(String service, String model, long now) {
        return isStale(now) ? Optional.empty() : find(new ServiceModel(service, model));
    }

    private Optional<VersionHistory> find(ServiceModel key) {
        return Optional.ofNullable(mHistories.get(key));
    }

    private Duration window(Duration streamLife) {
        return streamLife.plus(mAdoptionDelay);
    }
}
