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
 * The settings known to a node. The revision of a path never decreases.
 *
 * <pre>{@code
 * SettingsStore store = new SettingsStore();
 * store.merge(SettingsEntry.value("store", 3, yaml));
 * }</pre>
 *
 * <p>Invariants: merging is idempotent, commutative and associative, so nodes that have merged the
 * same entries have the same state in whatever order they merged them; a deletion is stored like
 * any other entry and kept for good, so that an older value can't return. Not safe for concurrent
 * use.
 */
public final class SettingsStore {
    private final SortedMap<String, PathState> mPaths = new TreeMap<>();
    private final SettingsViewBuilder mViewBuilder = new SettingsViewBuilder();
    private final long[] mBucketDigests = new long[SettingsSync.BUCKET_COUNT];

    /**
     * Merges an entry from the platform or from another node.
     *
     * @param entry the entry
     * @return true if it changed the state
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

    /**
     * The result of parsing an entry: a value, no value for a deletion, or the reason for a
     * refusal.
     */
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
        Optional<SettingsEntry> accepted =
                refusal.isPresent() ? old.accepted() : Optional.of(entry);
        return entry.revision().isAfter(old.newest().revision())
                ? new PathState(accepted, entry, refusal)
                : new PathState(accepted, old.newest(), old.refusal());
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
     * Returns a digest of all paths and revisions. Stores with equal digests hold the same state.
     *
     * @return a 64-bit digest, independent of the order of merging
     */
    public long digest() {
        return Arrays.stream(mBucketDigests).reduce(0, (a, b) -> Long.rotateLeft(a, 1) ^ b);
    }

    /**
     * Returns the digest of each bucket of paths.
     *
     * @return {@link SettingsSync#BUCKET_COUNT} digests
     */
    public List<Long> bucketDigests() {
        return Arrays.stream(mBucketDigests).boxed().toList();
    }

    /**
     * Returns the bucket of a path.
     *
     * @param path the path
     * @return the bucket's index, from zero to below {@link SettingsSync#BUCKET_COUNT}
     */
    static int bucketOf(String path) {
        return (int) Long.remainderUnsigned(Rendezvous.hash(path), SettingsSync.BUCKET_COUNT);
    }

    /**
     * Returns the settings in force.
     *
     * @return an immutable snapshot
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
