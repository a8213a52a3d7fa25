package org.fescuehollow.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;

/**
 * The engines of one service ranked for each adapter, computed on first use and kept until the
 * fleet changes.
 *
 * <p>Invariant: the ranking depends only on the names of adapter and engines, so that every node
 * with the same view of the fleet ranks alike. Not safe for concurrent use.
 */
public final class CandidateTable {
    /** How many engines an adapter may spread over. */
    public static final int MAX_CANDIDATES = 8;

    private final List<Vm> mEngines;
    private final long[] mEngineHashes;
    private final Map<AdapterRef, List<Vm>> mRankings = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param engines the engines that take new work, in any order
     */
    public CandidateTable(List<Vm> engines) {
        mEngines = engines.stream().sorted(Comparator.comparing(Vm::id)).toList();
        mEngineHashes = mEngines.stream().mapToLong(vm -> Rendezvous.hash(vm.id())).toArray();
    }

    /**
     * Returns the engines that may serve an adapter, the first choice first.
     *
     * @param adapter the adapter
     * @return at most {@link #MAX_CANDIDATES} engines; empty if the service has none
     */
    public List<Vm> candidates(AdapterRef adapter) {
        return mRankings.computeIfAbsent(adapter, this::rank);
    }

    /**
     * Returns the engines ranked.
     *
     * @return sorted by id
     */
    public List<Vm> engines() {
        return mEngines;
    }

    private List<Vm> rank(AdapterRef adapter) {
        long key = Rendezvous.hash(adapter.toString());
        int width = Math.min(MAX_CANDIDATES, mEngines.size());
        long[] weights = new long[width];
        int[] best = new int[width];
        int filled = 0;
        for (int i = 0; i < mEngineHashes.length; i++) {
            long w = Rendezvous.weight(key, mEngineHashes[i]);
            if (filled < width || Long.compareUnsigned(w, weights[width - 1]) > 0) {
                filled = Math.min(width, filled + 1);
                insert(weights, best, filled, w, i);
            }
        }
        List<Vm> ranked = new ArrayList<>(width);
        for (int i = 0; i < filled; i++) {
            ranked.add(mEngines.get(best[i]));
        }
        return List.copyOf(ranked);
    }

    private static void insert(long[] weights, int[] best, int filled, long weight, int index) {
        int at = filled - 1;
        while (at > 0 && Long.compareUnsigned(weight, weights[at - 1]) > 0) {
            weights[at] = weights[at - 1];
            best[at] = best[at - 1];
            at--;
        }
        weights[at] = weight;
        best[at] = index;
    }
}
