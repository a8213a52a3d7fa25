package org.fescuehollow.settings;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.Problem;
import org.fescuehollow.hashing.Rendezvous;

/**
 * The settings known to a node; revisions of a path only ever grow.
 *
 * <pre>{@code
 * SettingsStore store = new SettingsStore();
 * store.merge(SettingsEntry.value("store", 3, yaml));
 * }</pre>
 *
 * <p>Invariants: merging is idempotent, commutative and associative, so nodes that have merged the
 * same entries hold the same state whatever the order; a deletion is an entry like any other and is
 * never forgotten. Not safe for concurrent use.
 */
public final class SettingsStore {
    private final SortedMap<String, PathState> mPaths = new TreeMap<>();
    private SettingsView mView = SettingsView.EMPTY;
    private final long[] mBuckets = new long[SettingsSpread.BUCKETS];

    /**
     * Merges an entry from the platform or from another node.
     *
     * @param entry the entry
     * @return true if the state has changed
     */
    public boolean merge(SettingsEntry entry) {
        PathState old = mPaths.get(entry.path());
        PathState merged = old == null ? first(entry) : next(old, entry);
        if (merged.equals(old)) {
            return false;
        }
        mPaths.put(entry.path(), merged);
        mBuckets[bucketOf(entry.path())] ^= (old == null ? 0 : hash(old)) ^ hash(merged);
        Optional<SettingsEntry> before = old == null ? Optional.empty() : old.accepted();
        if (!merged.accepted().equals(before)) {
            mView = mView.with(merged.accepted().orElseThrow());
        }
        return true;
    }

    private static PathState first(SettingsEntry entry) {
        Optional<Problem> refusal = refusalOf(entry);
        return new PathState(
                refusal.isPresent() ? Optional.empty() : Optional.of(entry), entry, refusal);
    }

    private static PathState next(PathState old, SettingsEntry entry) {
        Revision accepted = old.accepted().map(SettingsEntry::revision).orElse(Revision.NONE);
        boolean newest = entry.revision().isAfter(old.newest().revision());
        if (!newest && !entry.revision().isAfter(accepted)) {
            return old;
        }
        Optional<Problem> refusal = refusalOf(entry);
        Optional<SettingsEntry> inForce = refusal.isPresent() ? old.accepted() : Optional.of(entry);
        return newest
                ? new PathState(inForce, entry, refusal)
                : new PathState(inForce, old.newest(), old.refusal());
    }

    private static Optional<Problem> refusalOf(SettingsEntry entry) {
        if (entry.text().isEmpty()) {
            return Optional.empty();
        }
        try {
            SettingsParser.parse(entry.path(), entry.text().get());
            return Optional.empty();
        } catch (FescuehollowException e) {
            return Optional.of(e.problem());
        }
    }

    private static long hash(PathState state) {
        long accepted = state.accepted().map(a -> a.revision().number()).orElse(0L);
        return Hashing.komihash5_0()
                .hashStream()
                .putString(state.newest().path())
                .putLong(accepted)
                .putLong(state.newest().revision().number())
                .getAsLong();
    }

    /**
     * Returns a digest of all paths and revisions; equal digests mean equal state.
     *
     * @return 64 bits, order of merging doesn't matter
     */
    public long digest() {
        return Arrays.stream(mBuckets).reduce(0, (a, b) -> Long.rotateLeft(a, 1) ^ b);
    }

    /**
     * Returns a digest of each bucket of paths.
     *
     * @return {@link SettingsSpread#BUCKETS} numbers
     */
    public List<Long> bucketDigests() {
        return Arrays.stream(mBuckets).boxed().toList();
    }

    /**
     * Returns the bucket of a path.
     *
     * @param path the path
     * @return from zero, below {@link SettingsSpread#BUCKETS}
     */
    static int bucketOf(String path) {
        return (int) Long.remainderUnsigned(Rendezvous.hash(path), SettingsSpread.BUCKETS);
    }

    /**
     * Returns the settings in force.
     *
     * @return a view that never changes
     */
    public SettingsView view() {
        return mView;
    }

    /**
     * Returns the state of each path.
     *
     * @return an unmodifiable view, sorted by path
     */
    public SortedMap<String, PathState> paths() {
        return Collections.unmodifiableSortedMap(mPaths);
    }
}
