package org.fescuehollow.versions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The successive shares of one service and base model, and what follows from them about streams.
 *
 * <p>Load pattern: engines are replaced by ones of another software version while each node reads
 * them at its own times. Shares that a node read are pending for the adoption delay, within which
 * every other node that reaches the store reads them too, and only then decide where its new
 * streams begin. So the shares by which a stream began are known to the node that resumes it.
 *
 * <p>Shares count until the adoption delay after the next ones were read, and those that this
 * process read itself for longer, as a node that is cut off from the store and the others goes on
 * by old ones. Shares without engines are ignored, as no stream begins by them.
 *
 * <p>Invariants: a version is derived only if a stream that began within the window can't have
 * begun at another one; what was dropped or never read counts as unknown. Holds at most {@value
 * #MAX_SHARES} shares. Times are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class VersionHistory {
    /** Shares that end longer ago are forgotten. */
    public static final Duration KEPT = Duration.ofSeconds(45);

    static final int MAX_SHARES = 256;

    private final long mDelayNanos;
    private final Deque<Read> mReads = new ArrayDeque<>();
    private long mKnownSince;
    private long mSeededUntil = Long.MIN_VALUE;

    /** Shares and when they were read. */
    private record Read(VersionShares shares, long atNanos) {}

    /**
     * Creates a history without shares.
     *
     * @param adoptionDelay within which every node that reaches the store reads a change
     * @param now the time before which nothing is known
     */
    public VersionHistory(Duration adoptionDelay, long now) {
        mDelayNanos = adoptionDelay.toNanos();
        mKnownSince = now + mDelayNanos;
    }

    /**
     * Handles the shares after a change in the store. The shares between two reads of the store
     * have to be passed too, in order.
     *
     * @param shares the shares
     * @param now the time of the read
     */
    public void onRead(VersionShares shares, long now) {
        boolean changed = mReads.isEmpty() || !mReads.getLast().shares().equals(shares);
        if (!shares.isEmpty() && changed) {
            mReads.addLast(new Read(shares, now));
        }
        prune(now);
    }

    private void prune(long now) {
        while (mReads.size() > 1 && endOfFirst() < now - KEPT.toNanos()) {
            dropFirst();
        }
        while (mReads.size() > MAX_SHARES) {
            dropFirst();
        }
    }

    private void dropFirst() {
        mKnownSince = Math.max(mKnownSince, endOfFirst());
        mReads.removeFirst();
    }

    /** Returns when the first shares are no longer in force on any node that reaches the store. */
    private long endOfFirst() {
        Iterator<Read> reads = mReads.iterator();
        reads.next();
        return reads.next().atNanos() + mDelayNanos;
    }

    /**
     * Adds the shares from before a listing, as the store's history tells them.
     *
     * @param before the shares in order, the last of which may be the listed ones
     * @param covered how long before now the first of them were in force already
     * @param listedNanos when the listing was read
     * @param now the time of the last event of that history
     */
    public void seed(List<AgedShares> before, Duration covered, long listedNanos, long now) {
        List<Read> all = new ArrayList<>();
        before.stream()
                .filter(s -> !s.shares().isEmpty())
                .map(s -> new Read(s.shares(), Math.min(listedNanos, now - s.minAge().toNanos())))
                .forEach(all::add);
        // The sort is stable, so what was listed follows what led to it at the same time.
        all.addAll(mReads);
        mReads.clear();
        mSeededUntil = listedNanos;
        all.stream()
                .sorted(Comparator.comparingLong(Read::atNanos))
                .filter(r -> mReads.isEmpty() || !mReads.getLast().shares().equals(r.shares()))
                .forEach(mReads::addLast);
        mKnownSince = Math.min(mKnownSince, now - covered.toNanos() + mDelayNanos);
        prune(now);
    }

    /**
     * Declares that shares may have been missed until now.
     *
     * @param now the current time
     */
    public void onGap(long now) {
        mKnownSince = now + mDelayNanos;
    }

    /**
     * Chooses the version at which a stream begins.
     *
     * @param id the id of the client attempt that begins it
     * @param now the current time
     * @return the version by the adopted shares; empty if none are
     */
    public Optional<String> pick(String id, long now) {
        return pick(id, v -> true, now);
    }

    /**
     * Chooses the version at which a stream begins, among those that can be used. If none of the
     * adopted ones can, shares that aren't adopted yet count, so that the stream needn't wait.
     *
     * @param id the id of the client attempt that begins it
     * @param usable whether a version can be used
     * @param now the current time
     * @return the version; empty if none can be used, or if it isn't settled yet which shares other
     *     nodes have in force
     */
    public Optional<String> pick(String id, Predicate<String> usable, long now) {
        Optional<VersionShares> adopted = adopted(now).map(s -> s.only(usable));
        return adopted.flatMap(s -> s.pick(id))
                .or(
                        () ->
                                pending(now)
                                        .map(s -> s.only(usable))
                                        .filter(s -> !s.isEmpty())
                                        .findFirst()
                                        .filter(s -> s.versions().size() == 1 || hasAdopted(now))
                                        .flatMap(s -> s.pick(id)));
    }

    /**
     * Returns whether a stream gets the same version by the adopted shares and all newer ones.
     *
     * @param id the id of the client attempt that begins it
     * @param usable whether a version can be used
     * @param now the current time
     * @return false if it depends on when the other nodes adopt a change
     */
    public boolean isSettled(String id, Predicate<String> usable, long now) {
        return Stream.concat(adopted(now).stream(), pending(now))
                        .map(s -> s.only(usable).pick(id))
                        .distinct()
                        .count()
                <= 1;
    }

    private Optional<VersionShares> adopted(long now) {
        return mReads.stream().filter(r -> isAdopted(r, now)).reduce((a, b) -> b).map(Read::shares);
    }

    private boolean hasAdopted(long now) {
        return !mReads.isEmpty() && isAdopted(mReads.getFirst(), now);
    }

    private Stream<VersionShares> pending(long now) {
        return mReads.stream().filter(r -> !isAdopted(r, now)).map(Read::shares);
    }

    private boolean isAdopted(Read read, long now) {
        return now - read.atNanos() >= mDelayNanos;
    }

    /**
     * Works out at which version a stream began.
     *
     * @param id the id of the client attempt that began it
     * @param window how long ago it began at most, plus the adoption delay
     * @param now the current time
     * @return the version that it has by all shares that count; empty if these differ, or if those
     *     of the window aren't all known
     */
    public Optional<String> derive(String id, Duration window, long now) {
        return isKnown(window, now) ? agreed(s -> s.pick(id), window, now) : Optional.empty();
    }

    /**
     * Returns the version at which all streams of the window began.
     *
     * @param window how long ago they began at most, plus the adoption delay
     * @param now the current time
     * @return the version; empty if there were several, or if the shares of the window aren't known
     */
    public Optional<String> single(Duration window, long now) {
        Function<VersionShares, Optional<String>> onlyVersion =
                s -> s.versions().size() == 1 ? s.pick("") : Optional.empty();
        return isKnown(window, now) ? agreed(onlyVersion, window, now) : Optional.empty();
    }

    /**
     * Returns whether {@link #derive} may fail to name the version of a stream, on this or another
     * node.
     *
     * @param id the id of the client attempt that began it
     * @param window how long ago it began at most, plus the adoption delay
     * @param now the current time
     * @return true if it isn't certain
     */
    public boolean isAmbiguous(String id, Duration window, long now) {
        return !isKnown(window, now) || agreed(s -> s.pick(id), KEPT, now).isEmpty();
    }

    /**
     * Returns whether all shares of a window are known.
     *
     * @param window the window, which ends now
     * @param now the current time
     * @return false if some were dropped or never read
     */
    public boolean isKnown(Duration window, long now) {
        return mKnownSince <= now - window.toNanos();
    }

    /** Returns what all shares agree on that count for a stream of the window. */
    private Optional<String> agreed(
            Function<VersionShares, Optional<String>> version, Duration window, long now) {
        prune(now);
        Set<Optional<String>> versions = new HashSet<>();
        long end = Long.MAX_VALUE;
        Iterator<Read> newestFirst = mReads.descendingIterator();
        while (newestFirst.hasNext()) {
            Read r = newestFirst.next();
            if (end >= now - window.toNanos() || end > mSeededUntil) {
                versions.add(version.apply(r.shares()));
            }
            end = r.atNanos() + mDelayNanos;
        }
        return versions.size() == 1 ? versions.iterator().next() : Optional.empty();
    }
}
