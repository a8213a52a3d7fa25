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
 * Ranks the engines of one service for each adapter by rendezvous hashing. Rankings are computed on
 * first use and cached; a change of the fleet needs a new table.
 *
 * <p>Invariant: the ranking depends only on the names of the adapter and the engines, so all nodes
 * with the same view of the fleet compute the same ranking. Not safe for concurrent use.
 */
public final class CandidateTable {
    /** The maximum number of engines that may serve one adapter. */
    public static final int MAX_CANDIDATES = 8;

    private final List<Vm> mEngines;
    private final long[] mEngineHashes;
    private final Map<AdapterRef, List<Vm>> mRankings = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param engines the engines that accept new requests, in any order
     */
    public CandidateTable(List<Vm> engines) {
        mEngines = engines.stream().sorted(Comparator.comparing(Vm::id)).toList();
        mEngineHashes = mEngines.stream().mapToLong(vm -> Rendezvous.hash(vm.id())).toArray();
    }

    /**
     * Returns the engines that may serve an adapter, in order of preference.
     *
     * @param adapter the adapter
     * @return at most {@link #MAX_CANDIDATES} engines; empty if the service has none
     */
    public List<Vm> candidates(AdapterRef adapter) {
        return mRankings.computeIfAbsent(adapter, this::rank);
    }

    /**
     * Returns the engines of the table.
     *
     * @return the engines, sorted by id
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
            long weight = Rendezvous.weight(key, mEngineHashes[i]);
            if (filled < width || Long.compareUnsigned(weight, weights[width - 1]) > 0) {
                filled = Math.min(width, filled + 1);
                insert(weights, best, filled, weight, i);
            }
        }
        List<Vm> ranked = new ArrayList<>(width);
        for (int i = 0; i < filled; i++) {
            ranked.add(mEngines.get(best[i]));
        }
        return List.copyOf(ranked);
    }

    private static void insert(long[] weights, int[] best, int filled, long weight, int index) {
        int position = filled - 1;
        while (position > 0 && Long.compareUnsigned(weight, weights[position - 1]) > 0) {
            weights[position] = weights[position - 1];
            best[position] = best[position - 1];
            position--;
        }
        weights[position] = weight;
        best[position] = index;
    }
}
