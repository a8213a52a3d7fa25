package org.fescuehollow.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehollow.model.AdapterRef;

/**
 * The fewest loads that any eviction could do, knowing all requests in advance.
 *
 * <p>All slots form one pool, and the adapter needed farthest in the future is evicted. Source:
 * Belady, "A study of replacement algorithms", 1966. Stateless and safe for use by any thread.
 */
public final class OptimalEviction {
    private OptimalEviction() {}

    /**
     * Counts the loads.
     *
     * @param requests requests in order of arrival
     * @param slots slots of all engines together
     * @return loads, the first of each adapter included
     */
    public static long minLoads(List<Request> requests, int slots) {
        int[] nextUse = nextUses(requests);
        TreeMap<Integer, AdapterRef> byNextUse = new TreeMap<>();
        Map<AdapterRef, Integer> resident = new HashMap<>();
        long loads = 0;
        for (int i = 0; i < nextUse.length; i++) {
            AdapterRef adapter = requests.get(i).adapter();
            Integer due = resident.remove(adapter);
            if (due != null) {
                byNextUse.remove(due);
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

    /** Adapters never used again get times of their own beyond the end. */
    private static int[] nextUses(List<Request> requests) {
        int[] next = new int[requests.size()];
        Map<AdapterRef, Integer> seen = new HashMap<>();
        int never = requests.size();
        for (int i = requests.size() - 1; i >= 0; i--) {
            Integer later = seen.put(requests.get(i).adapter(), i);
            next[i] = later == null ? never++ : later;
        }
        return next;
    }
}
