package org.fescuehollow.membership;

/**
 * One piece of news about a node, spread with the membership messages.
 *
 * <p>Invariant: of two updates about a node, the one with the higher incarnation wins; in the same
 * incarnation the graver state wins, so that all nodes end with the same belief. Immutable and safe
 * for use by any thread.
 *
 * @param node the node's id
 * @param incarnation grows with each life of the node, and with each suspicion that it refutes
 * @param state the belief
 */
public record MemberUpdate(String node, long incarnation, MemberState state) {
    /**
     * Tells whether this news replaces what was known.
     *
     * @param known what was known of the same node
     * @return true if it does
     */
    public boolean overrides(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }
}
