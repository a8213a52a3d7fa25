package org.fescuehollow.dispatch;

import java.util.Collection;
import org.fescuehollow.hashing.Rendezvous;

/**
 * This node's place among the nodes that may use an engine, in the order of a rendezvous hash.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param rank the place, 0 being the first
 * @param nodes the number of nodes, this one included
 */
record FleetRank(int rank, int nodes) {
    /** The rank of a node that knows no others. */
    static final FleetRank ALONE = new FleetRank(0, 1);

    static FleetRank of(String engine, String self, Collection<String> others) {
        long key = Rendezvous.hash(engine);
        long own = Rendezvous.weight(key, Rendezvous.hash(self));
        int above =
                (int)
                        others.stream()
                                .mapToLong(n -> Rendezvous.weight(key, Rendezvous.hash(n)))
                                .filter(w -> Long.compareUnsigned(w, own) > 0)
                                .count();
        return new FleetRank(above, others.size() + 1);
    }
}
