package org.fescuehollow.membership;

import static org.fescuehollow.internal.Preconditions.requireNonBlank;
import static org.fescuehollow.internal.Preconditions.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.hashing.Rendezvous;

/**
 * Detects which entry nodes are alive with the SWIM protocol. The load per node does not depend on
 * the number of nodes.
 *
 * <p>Each round probes one node of the own failure domain, one of all usable nodes, and some that
 * are dead or have left, so that a node that comes back is found. A probe that is not acknowledged
 * in time is repeated through other nodes. A node that does not respond to these either is
 * suspected, and later declared dead; a suspected node that is alive refutes this by raising its
 * incarnation. Updates are piggybacked on the messages. Source: Das, Gupta and Motivala, "SWIM",
 * 2002.
 *
 * <pre>{@code
 * List<OutgoingMessage> out = membership.tick(now);
 * out = membership.receive(now, message);
 * Set<String> usable = membership.usableNodes();
 * }</pre>
 *
 * <p>Invariants: this node never considers itself dead; its own incarnation never decreases;
 * another node that is not on the VM list is never usable. Not safe for concurrent use.
 */
public final class Membership {
    private static final int INDIRECT_PROBE_RELAYS = 2;
    private static final int RECONNECT_PROBES_PER_ROUND = 1;

    /** All nodes count as dead at the start; more probes per round find them sooner. */
    private static final int RECONNECT_PROBES_PER_ROUND_BEFORE_SETTLED = 8;

    private final String mSelf;
    private final String mDomain;
    private final MembershipTiming mTiming;
    private final ProbeOrder mDomainOrder;
    private final ProbeOrder mAllOrder;
    private final ProbeOrder mReconnectOrder;
    private final MemberTable mMembers = new MemberTable();
    private final Map<Long, Probe> mPendingProbes = new TreeMap<>();
    private final Map<Long, RelayedProbe> mRelayedProbes = new HashMap<>();
    private SortedMap<String, String> mDomainByNode = new TreeMap<>();
    private long mIncarnation;
    private long mNextSequence;
    private final Set<String> mContactedOrTimedOut = new HashSet<>();
    private boolean mSettled;
    private boolean mVmListReceived;
    private long mLastRoundNanos;
    private boolean mStarted;
    private long mPauseCount;

    /** A probe that has not been acknowledged yet. */
    private record Probe(String target, long sentNanos, boolean indirect) {}

    /** A probe that this node sent at the request of another node. */
    private record RelayedProbe(String requester, long sequence) {}

    /**
     * Creates the state of a node that knows no other nodes.
     *
     * @param self this node's id
     * @param domain its failure domain
     * @param incarnation higher than in any earlier start, as far as the clock allows
     * @param timing the protocol's intervals and timeouts
     */
    public Membership(String self, String domain, long incarnation, MembershipTiming timing) {
        mSelf = requireNonBlank("node id", self);
        mDomain = requireNonBlank("failure domain", domain);
        mIncarnation = incarnation;
        mTiming = requireNonNull("timing", timing);
        long seed = Rendezvous.hash(self) ^ incarnation;
        mDomainOrder = new ProbeOrder(seed);
        mAllOrder = new ProbeOrder(seed + 1);
        mReconnectOrder = new ProbeOrder(seed + 2);
    }

    /**
     * Sets the entry nodes of the VM list.
     *
     * @param nodes the failure domain of each listed node that is not leaving, by node id
     */
    public void setListedNodes(Map<String, String> nodes) {
        mVmListReceived = true;
        mDomainByNode = new TreeMap<>(nodes);
        mDomainByNode.remove(mSelf);
        mMembers.setListedNodes(mDomainByNode.keySet());
        updateSettled();
    }

    /**
     * Sets the settled flag, for good, once each listed node of the own failure domain has been
     * heard or has failed to respond to a probe.
     */
    private void updateSettled() {
        mSettled =
                mSettled
                        || mVmListReceived
                                && mDomainByNode.entrySet().stream()
                                        .filter(e -> e.getValue().equals(mDomain))
                                        .allMatch(e -> mContactedOrTimedOut.contains(e.getKey()));
    }

    /**
     * Advances the protocol. To be called a few times per probe interval.
     *
     * @param now the monotonic time in nanoseconds
     * @return messages to send
     */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> out = new ArrayList<>();
        if (!mStarted) {
            mStarted = true;
            mLastRoundNanos = now - mTiming.probeIntervalNanos();
        }
        if (now - mLastRoundNanos > mTiming.pauseThresholdNanos()) {
            resetAfterPause(now);
        }
        expireProbes(now, out);
        mMembers.declareExpiredSuspectsDead(now, mTiming.suspicionTimeoutNanos());
        if (now - mLastRoundNanos >= mTiming.probeIntervalNanos()) {
            mLastRoundNanos = now;
            startProbeRound(now, out);
        }
        return out;
    }

    /** Discards what depends on times measured before a pause, and announces a new incarnation. */
    private void resetAfterPause(long now) {
        mPauseCount++;
        mIncarnation++;
        mPendingProbes.clear();
        mRelayedProbes.clear();
        mMembers.restartSuspicionTimers(now);
        mLastRoundNanos = now - mTiming.probeIntervalNanos();
        mMembers.enqueueUpdate(selfAliveUpdate());
    }

    private void startProbeRound(long now, List<OutgoingMessage> out) {
        Set<String> usable = mMembers.usableNodes();
        List<String> usableInDomain =
                usable.stream().filter(n -> mDomain.equals(mDomainByNode.get(n))).toList();
        List<String> unusable =
                mDomainByNode.keySet().stream().filter(n -> !usable.contains(n)).toList();
        Set<String> targets = new LinkedHashSet<>();
        mDomainOrder.next(usableInDomain).ifPresent(targets::add);
        mAllOrder.next(usable).ifPresent(targets::add);
        List<String> unusableInDomain =
                unusable.stream().filter(n -> mDomain.equals(mDomainByNode.get(n))).toList();
        int reconnectProbes =
                mSettled ? RECONNECT_PROBES_PER_ROUND : RECONNECT_PROBES_PER_ROUND_BEFORE_SETTLED;
        for (int i = 0; i < reconnectProbes; i++) {
            boolean ownDomainFirst = !mSettled && !unusableInDomain.isEmpty();
            mReconnectOrder
                    .next(ownDomainFirst ? unusableInDomain : unusable)
                    .ifPresent(targets::add);
        }
        targets.forEach(t -> sendProbe(now, t, out));
    }

    private void sendProbe(long now, String target, List<OutgoingMessage> out) {
        long sequence = mNextSequence++;
        mPendingProbes.put(sequence, new Probe(target, now, false));
        out.add(createMessage(GossipMessage.Kind.PING, target, sequence, target));
    }

    private OutgoingMessage createMessage(
            GossipMessage.Kind kind, String to, long sequence, String subject) {
        return new OutgoingMessage(
                to,
                new GossipMessage(
                        kind, mSelf, mIncarnation, sequence, subject, mMembers.updatesFor(to)));
    }

    private void expireProbes(long now, List<OutgoingMessage> out) {
        for (Map.Entry<Long, Probe> e : List.copyOf(mPendingProbes.entrySet())) {
            Probe p = e.getValue();
            long age = now - p.sentNanos();
            if (age >= mTiming.probeIntervalNanos()) {
                mPendingProbes.remove(e.getKey());
                mContactedOrTimedOut.add(p.target());
                updateSettled();
                mMembers.suspect(p.target(), now);
            } else if (age >= mTiming.ackTimeoutNanos() && !p.indirect()) {
                mPendingProbes.put(e.getKey(), new Probe(p.target(), p.sentNanos(), true));
                requestIndirectProbes(e.getKey(), p.target(), out);
            }
        }
    }

    private void requestIndirectProbes(long sequence, String target, List<OutgoingMessage> out) {
        mMembers.usableNodes().stream()
                .filter(n -> !n.equals(target))
                .sorted(
                        Comparator.comparingLong(
                                n -> Rendezvous.weight(sequence, Rendezvous.hash(n))))
                .limit(INDIRECT_PROBE_RELAYS)
                .forEach(
                        n ->
                                out.add(
                                        createMessage(
                                                GossipMessage.Kind.PING_REQUEST,
                                                n,
                                                sequence,
                                                target)));
    }

    /**
     * Handles a received message.
     *
     * @param now the monotonic time in nanoseconds
     * @param message the message
     * @return messages to send
     */
    public List<OutgoingMessage> receive(long now, GossipMessage message) {
        List<OutgoingMessage> out = new ArrayList<>();
        if (mMembers.recordDirectContact(message.from(), message.incarnation(), now)) {
            mContactedOrTimedOut.add(message.from());
            updateSettled();
        }
        message.updates().forEach(u -> applyUpdate(u, now));
        switch (message.kind()) {
            case PING ->
                    out.add(
                            createMessage(
                                    GossipMessage.Kind.ACK,
                                    message.from(),
                                    message.sequence(),
                                    mSelf));
            case PING_REQUEST -> relayProbe(message, out);
            case ACK -> onAck(message, now, out);
            default -> throw new IllegalArgumentException("unknown kind of membership message");
        }
        return out;
    }

    private void relayProbe(GossipMessage request, List<OutgoingMessage> out) {
        if (mDomainByNode.containsKey(request.subject())) {
            long sequence = mNextSequence++;
            mRelayedProbes.put(sequence, new RelayedProbe(request.from(), request.sequence()));
            // Limits memory use: drops old relayed probes that were never acknowledged.
            mRelayedProbes.keySet().removeIf(s -> s < sequence - 1_000);
            out.add(
                    createMessage(
                            GossipMessage.Kind.PING,
                            request.subject(),
                            sequence,
                            request.subject()));
        }
    }

    private void onAck(GossipMessage ack, long now, List<OutgoingMessage> out) {
        Probe probe = mPendingProbes.remove(ack.sequence());
        if (probe != null && probe.indirect() && !ack.from().equals(probe.target())) {
            mMembers.clearSuspicion(probe.target());
        }
        RelayedProbe relay = mRelayedProbes.remove(ack.sequence());
        if (relay != null) {
            out.add(
                    createMessage(
                            GossipMessage.Kind.ACK,
                            relay.requester(),
                            relay.sequence(),
                            ack.from()));
        }
    }

    private void applyUpdate(MemberUpdate update, long now) {
        if (update.node().equals(mSelf)) {
            refuteIfNotAlive(update);
            return;
        }
        mMembers.applyUpdate(update, now);
    }

    private void refuteIfNotAlive(MemberUpdate update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= mIncarnation) {
            mIncarnation = update.incarnation() + 1;
            mMembers.enqueueUpdate(selfAliveUpdate());
        }
    }

    private MemberUpdate selfAliveUpdate() {
        return new MemberUpdate(mSelf, mIncarnation, MemberState.ALIVE);
    }

    /**
     * Announces a planned stop.
     *
     * @return messages to some usable nodes, own failure domain first; these gossip it further
     */
    public List<OutgoingMessage> leave() {
        mMembers.enqueueUpdate(new MemberUpdate(mSelf, mIncarnation, MemberState.LEFT));
        return mMembers.usableNodes().stream()
                .sorted(
                        Comparator.<String, Boolean>comparing(
                                        n -> !mDomain.equals(mDomainByNode.get(n)))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(GossipQueue.MAX_UPDATES_PER_MESSAGE)
                .map(n -> createMessage(GossipMessage.Kind.PING, n, mNextSequence++, n))
                .toList();
    }

    /**
     * Returns the nodes that may be given work.
     *
     * @return node ids; this node's own id is included once this node has settled
     */
    public SortedSet<String> usableNodes() {
        SortedSet<String> all = new TreeSet<>(mMembers.usableNodes());
        if (mSettled) {
            all.add(mSelf);
        }
        return all;
    }

    /**
     * Returns whether each listed node of this node's failure domain has been heard or has failed
     * to respond to a probe.
     *
     * @return true from the first time on
     */
    public boolean isSettled() {
        return mSettled;
    }

    /**
     * Returns the number of pauses of this process that were detected.
     *
     * @return the number since the start
     */
    public long pauseCount() {
        return mPauseCount;
    }

    /**
     * Returns the state of each other listed node.
     *
     * @return an unmodifiable view, by node id
     */
    public SortedMap<String, MemberUpdate> members() {
        return mMembers.members();
    }

    /**
     * Returns this node's incarnation.
     *
     * @return a number that rises with each refutation and each pause
     */
    public long incarnation() {
        return mIncarnation;
    }
}
