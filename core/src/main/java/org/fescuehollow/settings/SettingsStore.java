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
    private final SettingsViewBuilder mViewBuilder = new SettingsViewBuilder();
    private final long[] mBucketDigests = new long[SettingsSync.BUCKET_COUNT];

    /**
     * Merges an entry from the platform or from another node.
     *
     * @param entry the entry
     * @return true if the state has changed
     */
    public boolean merge(SettingsEntry entry) {
        PathState old = mPaths.get(entry.path());
        if (old != null && !isNewer(old, entry)) {
            return false;
        }
        ParseResult parsed = parse(entry);
        PathState merged = nextState(old, entry, parsed.refusal());
        if (merged.equals(old)) {
            return false;
        }
        mPaths.put(entry.path(), merged);
        mBucketDigests[bucketOf(entry.path())] ^= (old == null ? 0 : hashOf(old)) ^ hashOf(merged);
        if (parsed.refusal().isEmpty()) {
            mViewBuilder.apply(entry.path(), parsed.value());
        }
        return true;
    }

    /** What became of an entry's text: a value, no value for a deletion, or a refusal. */
    private record ParseResult(Optional<Object> value, Optional<Problem> refusal) {}

    private static ParseResult parse(SettingsEntry entry) {
        try {
            return new ParseResult(
                    entry.text().map(t -> SettingsParser.parse(entry.path(), t)), Optional.empty());
        } catch (FescuehollowException e) {
            return new ParseResult(Optional.empty(), Optional.of(e.problem()));
        }
    }

    private static boolean isNewer(PathState old, SettingsEntry entry) {
        Revision accepted = old.accepted().map(SettingsEntry::revision).orElse(Revision.NONE);
        return entry.revision().isAfter(old.newest().revision())
                || entry.revision().isAfter(accepted);
    }

    private static PathState nextState(
            PathState old, SettingsEntry entry, Optional<Problem> refusal) {
        if (old == null) {
            return new PathState(
                    refusal.isPresent() ? Optional.empty() : Optional.of(entry), entry, refusal);
        }
        Optional<SettingsEntry> inForce = refusal.isPresent() ? old.accepted() : Optional.of(entry);
        return entry.revision().isAfter(old.newest().revision())
                ? new PathState(inForce, entry, refusal)
                : new PathState(inForce, old.newest(), old.refusal());
    }

    private static long hashOf(PathState state) {
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
        return Arrays.stream(mBucketDigests).reduce(0, (a, b) -> Long.rotateLeft(a, 1) ^ b);
    }

    /**
     * Returns a digest of each bucket of paths.
     *
     * @return {@link SettingsSync#BUCKET_COUNT} numbers
     */
    public List<Long> bucketDigests() {
        return Arrays.stream(mBucketDigests).boxed().toList();
    }

    /**
     * Returns the bucket of a path.
     *
     * @param path the path
     * @return from zero, below {@link SettingsSync#BUCKET_COUNT}
     */
    static int bucketOf(String path) {
        return (int) Long.remainderUnsigned(Rendezvous.hash(path), SettingsSync.BUCKET_COUNT);
    }

    /**
     * Returns the settings in force.
     *
     * @return a view that never changes
     */
    public SettingsView view() {
        return mViewBuilder.view();
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
