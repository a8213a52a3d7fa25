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
 * Knows which entry nodes are alive, at a cost that doesn't grow with their number.
 *
 * <p>Each round probes one node of the own failure domain, one of all, and one that seems lost. A
 * probe that isn't answered goes through other nodes; a node that nobody reaches is suspected, then
 * declared dead; it refutes by a higher incarnation. News rides on the probes. Source: Das, Gupta
 * and Motivala, "SWIM", 2002.
 *
 * <pre>{@code
 * List<Outgoing> out = membership.tick(now);
 * out = membership.receive(now, message);
 * Set<String> live = membership.usable();
 * }</pre>
 *
 * <p>Invariants: this node never believes itself dead; its own incarnation only grows; a node that
 * isn't on the VM list is never usable. Not safe for concurrent use.
 */
public final class Membership {
    private static final int INDIRECT_PROBE_RELAYS = 2;
    private static final int RECONNECT_PROBES_PER_ROUND = 1;
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

    /** A probe that waits for its answer. */
    private record Probe(String target, long sentNanos, boolean indirect) {}

    /** A probe sent for another node. */
    private record RelayedProbe(String requester, long sequence) {}

    /**
     * Creates the state of a node that knows nobody.
     *
     * @param self this node's id
     * @param domain its failure domain
     * @param incarnation higher than in any earlier life, as far as the clock can tell
     * @param timing the protocol's times
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
     * Takes the platform's list of entry nodes.
     *
     * @param nodes the failure domain of each listed node that isn't leaving
     */
    public void setListedNodes(Map<String, String> nodes) {
        mVmListReceived = true;
        mDomainByNode = new TreeMap<>(nodes);
        mDomainByNode.remove(mSelf);
        mMembers.setListedNodes(mDomainByNode.keySet());
        updateSettled();
    }

    /** Latches once every listed node of the own domain was heard or failed to answer. */
    private void updateSettled() {
        mSettled =
                mSettled
                        || mVmListReceived
                                && mDomainByNode.entrySet().stream()
                                        .filter(e -> e.getValue().equals(mDomain))
                                        .allMatch(e -> mContactedOrTimedOut.contains(e.getKey()));
    }

    /**
     * Lets time pass; call it a few times in each period.
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

    /** Gives up all beliefs that rest on time measured before a pause. */
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
        List<String> near =
                usable.stream().filter(n -> mDomain.equals(mDomainByNode.get(n))).toList();
        List<String> lost =
                mDomainByNode.keySet().stream().filter(n -> !usable.contains(n)).toList();
        Set<String> targets = new LinkedHashSet<>();
        mDomainOrder.next(near).ifPresent(targets::add);
        mAllOrder.next(usable).ifPresent(targets::add);
        List<String> nearLost =
                lost.stream().filter(n -> mDomain.equals(mDomainByNode.get(n))).toList();
        int lostProbes =
                mSettled ? RECONNECT_PROBES_PER_ROUND : RECONNECT_PROBES_PER_ROUND_BEFORE_SETTLED;
        for (int i = 0; i < lostProbes; i++) {
            boolean ownDomainFirst = !mSettled && !nearLost.isEmpty();
            mReconnectOrder.next(ownDomainFirst ? nearLost : lost).ifPresent(targets::add);
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
     * Takes a message.
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
            default -> throw new IllegalArgumentException("expected a known kind");
        }
        return out;
    }

    private void relayProbe(GossipMessage request, List<OutgoingMessage> out) {
        if (mDomainByNode.containsKey(request.subject())) {
            long sequence = mNextSequence++;
            mRelayedProbes.put(sequence, new RelayedProbe(request.from(), request.sequence()));
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
     * Says goodbye on a planned stop.
     *
     * @return messages that tell some other nodes; they spread the news
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
     * Returns the nodes that work may go to.
     *
     * @return ids; this node's own once it has had time to hear of the others
     */
    public SortedSet<String> usableNodes() {
        SortedSet<String> all = new TreeSet<>(mMembers.usableNodes());
        if (mSettled) {
            all.add(mSelf);
        }
        return all;
    }

    /**
     * Tells whether this node has heard, or tried to hear, every node of its failure domain.
     *
     * @return true from then on
     */
    public boolean isSettled() {
        return mSettled;
    }

    /**
     * Returns how often this node found that it had been paused.
     *
     * @return the count since the start
     */
    public long pauseCount() {
        return mPauseCount;
    }

    /**
     * Returns what is believed of each other listed node.
     *
     * @return an unmodifiable view
     */
    public SortedMap<String, MemberUpdate> members() {
        return mMembers.members();
    }

    /**
     * Returns this node's incarnation.
     *
     * @return grows with each refutation and pause
     */
    public long incarnation() {
        return mIncarnation;
    }
}
