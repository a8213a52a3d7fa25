package org.fescuehollow.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The states of the other nodes as this node sees them, and the updates that it still has to
 * gossip.
 *
 * <p>Invariants: it holds only nodes of the VM list; a state is replaced only by an update that
 * overrides it, or when a suspected node was reached. Not safe for concurrent use.
 */
final class MemberTable {
    private final GossipQueue mGossipQueue = new GossipQueue();
    private final SortedMap<String, MemberUpdate> mMembers = new TreeMap<>();
    private final Map<String, Long> mSuspectSince = new HashMap<>();

    /** Drops nodes that are no longer listed; a new node counts as dead until it is heard. */
    void setListedNodes(Set<String> nodes) {
        mMembers.keySet().retainAll(nodes);
        mSuspectSince.keySet().retainAll(nodes);
        nodes.forEach(n -> mMembers.putIfAbsent(n, new MemberUpdate(n, 0, MemberState.DEAD)));
    }

    void enqueueUpdate(MemberUpdate update) {
        mGossipQueue.add(update, mMembers.size());
    }

    /**
     * Returns the updates to send to a node. If the node itself is not alive as seen from here,
     * they include its state, so that the node can refute it.
     */
    List<MemberUpdate> updatesFor(String to) {
        List<MemberUpdate> updates = new ArrayList<>(mGossipQueue.takeBatch());
        MemberUpdate own = mMembers.get(to);
        if (own != null && own.state() != MemberState.ALIVE && !updates.contains(own)) {
            updates.add(own);
        }
        return updates;
    }

    void applyUpdate(MemberUpdate update, long now) {
        MemberUpdate known = mMembers.get(update.node());
        if (known == null || !update.overrides(known)) {
            return;
        }
        mMembers.put(update.node(), update);
        if (update.state() == MemberState.SUSPECT) {
            mSuspectSince.putIfAbsent(update.node(), now);
        } else {
            mSuspectSince.remove(update.node());
        }
        enqueueUpdate(update);
    }

    /**
     * Handles a message that came from the node itself.
     *
     * <p>Returns false if the node is not listed, if the incarnation is out of date, or if the node
     * was declared dead or has left in this incarnation.
     */
    boolean recordDirectContact(String node, long incarnation, long now) {
        MemberUpdate known = mMembers.get(node);
        if (known == null || incarnation < known.incarnation()) {
            return false;
        }
        boolean unusable = !known.state().isUsable();
        if (unusable && incarnation == known.incarnation()) {
            return false;
        }
        clearSuspicion(node);
        applyUpdate(new MemberUpdate(node, incarnation, MemberState.ALIVE), now);
        return true;
    }

    /**
     * Marks a suspected node as alive, in the incarnation already known. An acknowledgement through
     * a relay shows that the node is alive, but not in which incarnation.
     */
    void clearSuspicion(String node) {
        MemberUpdate known = mMembers.get(node);
        if (known != null && known.state() == MemberState.SUSPECT) {
            mSuspectSince.remove(node);
            mMembers.put(node, new MemberUpdate(node, known.incarnation(), MemberState.ALIVE));
        }
    }

    void suspect(String node, long now) {
        MemberUpdate known = mMembers.get(node);
        if (known != null && known.state() == MemberState.ALIVE) {
            applyUpdate(new MemberUpdate(node, known.incarnation(), MemberState.SUSPECT), now);
        }
    }

    void restartSuspicionTimers(long now) {
        mSuspectSince.replaceAll((n, t) -> now);
    }

    void declareExpiredSuspectsDead(long now, long timeoutNanos) {
        List<String> expired =
                mSuspectSince.entrySet().stream()
                        .filter(e -> now - e.getValue() >= timeoutNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(n -> declareDead(n, now));
    }

    private void declareDead(String node, long now) {
        applyUpdate(
                new MemberUpdate(node, mMembers.get(node).incarnation(), MemberState.DEAD), now);
    }

    Set<String> usableNodes() {
        return mMembers.values().stream()
                .filter(u -> u.state().isUsable())
                .map(MemberUpdate::node)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    SortedMap<String, MemberUpdate> members() {
        return Collections.unmodifiableSortedMap(mMembers);
    }
}
