package org.fescuehollow.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Brings two nodes' settings together in three messages, of which only the last holds values.
 *
 * <p>Invariant: nothing is ever taken back; both sides end with the higher revision of each path.
 * Not safe for concurrent use.
 */
public final class SettingsSync {
    /** How many buckets the paths are divided into. */
    public static final int BUCKET_COUNT = 64;

    private final SettingsStore mStore;

    /**
     * Creates the spread of a store.
     *
     * @param store the node's settings
     */
    public SettingsSync(SettingsStore store) {
        mStore = store;
    }

    /**
     * A path's revisions as another node knows them.
     *
     * @param path the path
     * @param accepted the revision in force
     * @param newest the highest revision seen
     */
    public record PathRevision(String path, long accepted, long newest) {}

    /**
     * The paths of the buckets that differ.
     *
     * @param buckets the buckets
     * @param paths all of the sender's paths in them
     */
    public record Offer(Set<Integer> buckets, List<PathRevision> paths) {
        /** Creates the offer from copies. */
        public Offer {
            buckets = Set.copyOf(buckets);
            paths = List.copyOf(paths);
        }
    }

    /**
     * What follows from an offer.
     *
     * @param push entries that the other side lacks
     * @param pull paths of which the other side knows more
     */
    public record Delta(List<SettingsEntry> push, List<String> pull) {
        /** Creates the exchange from copies. */
        public Delta {
            push = List.copyOf(push);
            pull = List.copyOf(pull);
        }
    }

    /**
     * Returns a digest of each bucket.
     *
     * @return {@link #BUCKET_COUNT} numbers
     */
    public List<Long> summary() {
        return mStore.bucketDigests();
    }

    /**
     * Answers another node's summary.
     *
     * @param theirs the other node's digests
     * @return this node's paths where the digests differ; empty if none do
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
     * @return what to send and what to ask for
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
        List<String> want =
                offer.paths().stream()
                        .filter(p -> isAhead(p, localRevision(p.path())))
                        .map(PathRevision::path)
                        .toList();
        return new Delta(push, want);
    }

    private PathRevision localRevision(String path) {
        PathState state = mStore.paths().get(path);
        return state == null ? null : revisionOf(path, state);
    }

    private static boolean isAhead(PathRevision a, PathRevision b) {
        return b == null || a.accepted() > b.accepted() || a.newest() > b.newest();
    }

    /**
     * Returns all that is known of some paths.
     *
     * @param paths the paths
     * @return their entries; unknown paths are left out
     */
    public List<SettingsEntry> entriesOf(List<String> paths) {
        return paths.stream()
                .map(mStore.paths()::get)
                .filter(Objects::nonNull)
                .flatMap(s -> s.entries().stream())
                .toList();
    }
}
