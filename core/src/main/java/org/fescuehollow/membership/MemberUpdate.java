package org.fescuehollow.membership;

/**
 * The state of a node in one of its incarnations, as spread by gossip.
 *
 * <p>Invariant: of two updates for a node, the one with the higher incarnation wins; within one
 * incarnation the later constant of {@link MemberState} wins. All nodes that have received the same
 * updates therefore agree. Immutable and safe for use by any thread.
 *
 * @param node the node's id
 * @param incarnation rises with each start of the node, and with each suspicion that it refutes
 * @param state the node's state
 */
public record MemberUpdate(String node, long incarnation, MemberState state) {
    /**
     * Returns whether this update replaces another one.
     *
     * @param known the latest known update for the same node
     * @return true if this update wins
     */
    public boolean overrides(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }
}
