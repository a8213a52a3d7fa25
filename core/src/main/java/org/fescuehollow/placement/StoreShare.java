package org.fescuehollow.placement;

import java.util.SortedSet;
import org.fescuehollow.settings.StorePolicy;

/**
 * One node's share of the weight store's limits.
 *
 * <p>Invariant: the shares that all nodes compute from the same list and policy sum to at most the
 * store's limits; whole loads in transit are dealt out by the order of the nodes' ids. Immutable
 * and safe for use by any thread.
 *
 * @param loadsPerSecond loads that may begin in a second
 * @param inTransit loads that may be in progress at once
 */
public record StoreShare(double loadsPerSecond, int inTransit) {
    /** The share of a node that isn't listed. */
    public static final StoreShare NONE = new StoreShare(0, 0);

    /**
     * Works out a node's share.
     *
     * @param policy the store's limits and the domains' shares
     * @param node the node's id
     * @param domain its failure domain
     * @param listed ids of the entry nodes that the platform lists for the domain
     * @return the share; none if the node isn't listed
     */
    public static StoreShare of(
            StorePolicy policy, String node, String domain, SortedSet<String> listed) {
        if (!listed.contains(node)) {
            return NONE;
        }
        int nodes = listed.size();
        int rank = listed.headSet(node).size();
        int units = (int) Math.floor(policy.inTransit() * policy.shareOf(domain) + 1e-9);
        int mine = units / nodes + (rank < units % nodes ? 1 : 0);
        return new StoreShare(policy.loadsPerSecond() * policy.shareOf(domain) / nodes, mine);
    }
}
