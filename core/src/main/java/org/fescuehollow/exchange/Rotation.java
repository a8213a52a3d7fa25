package org.fescuehollow.exchange;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Takes peers in turn, in the cyclic order of their names, beginning after this node.
 *
 * <p>Load pattern: all nodes of a large fleet start at once and take turns at the same pace. As
 * each begins at its own place, a node is chosen by as many others in each turn as it chooses
 * itself.
 *
 * <p>Invariant: a peer that stays known is taken once in each turn, also while others come and go.
 * Not safe for concurrent use.
 */
public final class Rotation {
    private String mLastName;

    /**
     * Creates a rotation.
     *
     * @param self the name of this node
     */
    public Rotation(String self) {
        mLastName = self;
    }

    /**
     * Takes the next peers.
     *
     * @param peers the peers
     * @param filter selects the peers to take
     * @param count how many to take at most
     * @return the peers, each once
     */
    public List<Peer> next(List<Peer> peers, Predicate<Peer> filter, int count) {
        List<Peer> sorted = new ArrayList<>(peers.stream().filter(filter).toList());
        sorted.sort(Comparator.comparing(Peer::name));
        int first = 0;
        while (first < sorted.size() && sorted.get(first).name().compareTo(mLastName) <= 0) {
            first++;
        }
        Collections.rotate(sorted, -first);
        List<Peer> taken = sorted.subList(0, Math.min(count, sorted.size()));
        if (!taken.isEmpty()) {
            mLastName = taken.get(taken.size() - 1).name();
        }
        return List.copyOf(taken);
    }
}
