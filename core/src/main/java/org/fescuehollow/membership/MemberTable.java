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
 * What a node believes of the others, and the news of it still to be spread.
 *
 * <p>Invariants: only listed nodes are held; a belief gives way only to one that overrides it, or
 * to the node itself being heard. Not safe for concurrent use.
 */
final class MemberTable {
    private final GossipQueue mGossipQueue = new GossipQueue();
    private final SortedMap<String, MemberUpdate> mMembers = new TreeMap<>();
    private final Map<String, Long> mSuspectSince = new HashMap<>();

    void setListedNodes(Set<String> nodes) {
        mMembers.keySet().retainAll(nodes);
        mSuspectSince.keySet().retainAll(nodes);
        nodes.forEach(n -> mMembers.putIfAbsent(n, new MemberUpdate(n, 0, MemberState.DEAD)));
    }

    void enqueueUpdate(MemberUpdate update) {
        mGossipQueue.add(update, mMembers.size());
    }

    /** The news for a node always holds what is believed of the node itself, so it can refute. */
    List<MemberUpdate> updatesFor(String to) {
        List<MemberUpdate> news = new ArrayList<>(mGossipQueue.takeBatch());
        MemberUpdate about = mMembers.get(to);
        if (about != null && about.state() != MemberState.ALIVE && !news.contains(about)) {
            news.add(about);
        }
        return news;
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

    /** Takes that a node was heard directly; returns false if it was an earlier life of it. */
    boolean recordDirectContact(String node, long incarnation, long now) {
        MemberUpdate known = mMembers.get(node);
        if (known == null || incarnation < known.incarnation()) {
            return false;
        }
        boolean gone = !known.state().isUsable();
        if (gone && incarnation == known.incarnation()) {
            return false;
        }
        clearSuspicion(node);
        applyUpdate(new MemberUpdate(node, incarnation, MemberState.ALIVE), now);
        return true;
    }

    /** Takes that a node was heard through another; it proves life, not an incarnation. */
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

    void declareExpiredSuspectsDead(long now, long suspicionNanos) {
        List<String> gone =
                mSuspectSince.entrySet().stream()
                        .filter(e -> now - e.getValue() >= suspicionNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(n -> declareDead(n, now));
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
