package org.fescuehollow.placement;

import java.util.SortedSet;
import org.fescuehollow.settings.StorePolicy;

/**
 * One node's share of the weight store's limits.
 *
 * <p>Invariant: the shares that all nodes compute from the same list and policy sum to at most the
 * store's limits; loads in transit that can't be divided evenly go to the nodes whose ids sort
 * first. Immutable and safe for use by any thread.
 *
 * @param loadsPerSecond loads that may begin in a second
 * @param inTransit loads that may be in progress at once
 */
public record StoreShare(double loadsPerSecond, int inTransit) {
    /** The share of a node that isn't in the platform's list. */
    public static final StoreShare NONE = new StoreShare(0, 0);

    /**
     * Returns a node's share.
     *
     * @param policy the store's limits and the domains' shares
     * @param node the node's id
     * @param domain the node's failure domain
     * @param listed ids of the entry nodes that the platform lists for the domain
     * @return the share, {@link #NONE} if the node isn't listed
     */
    public static StoreShare of(
            StorePolicy policy, String node, String domain, SortedSet<String> listed) {
        if (!listed.contains(node)) {
            return NONE;
        }
        int nodes = listed.size();
        int rank = listed.headSet(node).size();
        // 1e-9 compensates for rounding errors, so that 1.9999999 counts as 2.
        int units = (int) Math.floor(policy.inTransit() * policy.shareOf(domain) + 1e-9);
        int own = units / nodes + (rank < units % nodes ? 1 : 0);
        return new StoreShare(policy.loadsPerSecond() * policy.shareOf(domain) / nodes, own);
    }
}
