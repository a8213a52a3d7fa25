package org.fescuehollow.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Synchronizes the settings of two nodes by anti-entropy in three messages: a summary of digests,
 * an offer of the revisions in the buckets that differ, and the missing entries. Only the third
 * message contains values.
 *
 * <p>Invariant: a newer revision is never replaced by an older one; both nodes end with the higher
 * revision of each path. Not safe for concurrent use.
 */
public final class SettingsSync {
    /** The number of buckets into which paths are hashed. */
    public static final int BUCKET_COUNT = 64;

    private final SettingsStore mStore;

    /**
     * Creates the synchronization of a store.
     *
     * @param store the node's settings
     */
    public SettingsSync(SettingsStore store) {
        mStore = store;
    }

    /**
     * The revisions of a path on one node.
     *
     * @param path the path
     * @param accepted the revision in force
     * @param newest the highest revision seen
     */
    public record PathRevision(String path, long accepted, long newest) {}

    /**
     * The revisions of all paths in the buckets that differ.
     *
     * @param buckets the buckets whose digests differ
     * @param paths the revisions of all the sender's paths in these buckets
     */
    public record Offer(Set<Integer> buckets, List<PathRevision> paths) {
        /** Creates the offer with copies. */
        public Offer {
            buckets = Set.copyOf(buckets);
            paths = List.copyOf(paths);
        }
    }

    /**
     * The differences found by comparing an offer with this node's settings.
     *
     * @param push entries that the other node lacks
     * @param pull paths of which the other node has a newer revision
     */
    public record Delta(List<SettingsEntry> push, List<String> pull) {
        /** Creates the delta with copies. */
        public Delta {
            push = List.copyOf(push);
            pull = List.copyOf(pull);
        }
    }

    /**
     * Returns the digest of each bucket.
     *
     * @return {@link #BUCKET_COUNT} digests
     */
    public List<Long> summary() {
        return mStore.bucketDigests();
    }

    /**
     * Compares another node's summary with this node's.
     *
     * @param theirs the digests of the other node
     * @return the revisions of this node's paths in the buckets that differ; empty if none differ
     */
    public Optional<Offer> createOffer(List<Long> theirs) {
        List<Long> ours = summary();
        Set<Integer> differing =
                IntStream.range(0, BUCKET_COUNT)
                        .filter(i -> i >= theirs.size() || !ours.get(i).equals(theirs.get(i)))
                        .boxed()
                        .collect(Collectors.toSet());
        if (differing.isEmpty()) {
            return Optional.empty();
        }
        List<PathRevision> paths =
                mStore.paths().entrySet().stream()
                        .filter(e -> differing.contains(SettingsStore.bucketOf(e.getKey())))
                        .map(e -> revisionOf(e.getKey(), e.getValue()))
                        .toList();
        return Optional.of(new Offer(differing, paths));
    }

    private static PathRevision revisionOf(String path, PathState state) {
        long accepted = state.accepted().map(a -> a.revision().number()).orElse(0L);
        return new PathRevision(path, accepted, state.newest().revision().number());
    }

    /**
     * Compares another node's offer with this node's settings.
     *
     * @param offer the offer
     * @return the entries to send and the paths to request
     */
    public Delta compare(Offer offer) {
        Map<String, PathRevision> theirs =
                offer.paths().stream()
                        .collect(Collectors.toMap(PathRevision::path, p -> p, (a, b) -> a));
        List<SettingsEntry> push =
                mStore.paths().entrySet().stream()
                        .filter(e -> offer.buckets().contains(SettingsStore.bucketOf(e.getKey())))
                        .filter(
                                e ->
                                        isAhead(
                                                revisionOf(e.getKey(), e.getValue()),
                                                theirs.get(e.getKey())))
                        .flatMap(e -> e.getValue().entries().stream())
                        .toList();
        List<String> pull =
                offer.paths().stream()
                        .filter(p -> isAhead(p, localRevision(p.path())))
                        .map(PathRevision::path)
                        .toList();
        return new Delta(push, pull);
    }

    private PathRevision localRevision(String path) {
        PathState state = mStore.paths().get(path);
        return state == null ? null : revisionOf(path, state);
    }

    private static boolean isAhead(PathRevision a, PathRevision b) {
        return b == null || a.accepted() > b.accepted() || a.newest() > b.newest();
    }

    /**
     * Returns all known entries of some paths.
     *
     * @param paths the paths
     * @return the entries; unknown paths are skipped
     */
    public List<SettingsEntry> entriesOf(List<String> paths) {
        return paths.stream()
                .map(mStore.paths()::get)
                .filter(Objects::nonNull)
                .flatMap(s -> s.entries().stream())
                .toList();
    }
}
