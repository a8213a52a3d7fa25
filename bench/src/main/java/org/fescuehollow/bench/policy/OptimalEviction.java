package org.fescuehollow.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehollow.model.AdapterRef;

/**
 * The minimum number of loads of any eviction policy, given all requests in advance.
 *
 * <p>All slots form one pool, and the adapter whose next use is farthest in the future is evicted.
 * Source: Belady, "A study of replacement algorithms", 1966. Stateless and safe for use by any
 * thread.
 */
public final class OptimalEviction {
    private OptimalEviction() {}

    /**
     * Returns the minimum number of loads.
     *
     * @param requests requests in order of arrival
     * @param slots total slots of all engines
     * @return number of loads, including the first load of each adapter
     */
    public static long minLoads(List<Request> requests, int slots) {
        int[] nextUse = nextUses(requests);
        TreeMap<Integer, AdapterRef> byNextUse = new TreeMap<>();
        Map<AdapterRef, Integer> resident = new HashMap<>();
        long loads = 0;
        for (int i = 0; i < nextUse.length; i++) {
            AdapterRef adapter = requests.get(i).adapter();
            Integer expectedUse = resident.remove(adapter);
            if (expectedUse != null) {
                byNextUse.remove(expectedUse);
            } else {
                loads++;
                if (resident.size() == slots) {
                    resident.remove(byNextUse.pollLastEntry().getValue());
                }
            }
            resident.put(adapter, nextUse[i]);
            byNextUse.put(nextUse[i], adapter);
        }
        return loads;
    }

    /**
     * Returns the index of the next use; adapters never used again get distinct indexes past the
     * end.
     */
    private static int[] nextUses(List<Request> requests) {
        int[] next = new int[requests.size()];
        Map<AdapterRef, Integer> nextIndex = new HashMap<>();
        int never = requests.size();
        for (int i = requests.size() - 1; i >= 0; i--) {
            Integer later = nextIndex.put(requests.get(i).adapter(), i);
            next[i] = later == null ? never++ : later;
        }
        return next;
    }
}
