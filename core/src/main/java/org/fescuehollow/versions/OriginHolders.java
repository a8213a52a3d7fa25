package org.fescuehollow.versions;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fescuehollow.hashing.Rendezvous;

/**
 * Decides which nodes keep the record of where a stream began, besides the one where it did.
 *
 * <p>Each node ranks the others by a rendezvous hash of the stream's id, so the node that asks and
 * the one that told agree on most of them, also after some nodes were lost. Stateless and safe for
 * use by any thread.
 */
public final class OriginHolders {
    /** Records survive the loss of the first node and of two more. */
    public static final int COUNT = 3;

    private static final Comparator<Ranked> BY_WEIGHT =
            ((Comparator<Ranked>) (a, b) -> Long.compareUnsigned(b.weight(), a.weight()))
                    .thenComparing(Ranked::name);

    /** A node and its weight for a stream, which is computed once. */
    private record Ranked(String name, long weight) {}

    private OriginHolders() {}

    /**
     * Returns the nodes to tell or to ask about a stream.
     *
     * @param id the id of the client attempt that began it
     * @param peers the names of the other live nodes
     * @return at most {@link #COUNT} of them, the first one ranked highest
     */
    public static List<String> of(String id, Collection<String> peers) {
        long key = Rendezvous.hash(id);
        return peers.stream()
                .map(p -> new Ranked(p, Rendezvous.weight(key, Rendezvous.hash(p))))
                .sorted(BY_WEIGHT)
                .limit(COUNT)
                .map(Ranked::name)
                .toList();
    }
}
