package org.fescuehollow.membership;

import static org.fescuehollow.internal.Preconditions.requireText;
import static org.fescuehollow.internal.Preconditions.requireValue;

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
    private static final int HELPERS = 2;
    private static final int LOST_PROBES = 1;
    private static final int LOST_PROBES_BEFORE_SETTLED = 8;

    private final String mSelf;
    private final String mDomain;
    private final MembershipTiming mTiming;
    private final ProbeOrder mDomainOrder;
    private final ProbeOrder mAllOrder;
    private final ProbeOrder mLostOrder;
    private final Beliefs mBeliefs = new Beliefs();
    private final Map<Long, Probe> mProbes = new TreeMap<>();
    private final Map<Long, Relay> mRelays = new HashMap<>();
    private SortedMap<String, String> mListed = new TreeMap<>();
    private long mIncarnation;
    private long mSequence;
    private final Set<String> mResolved = new HashSet<>();
    private boolean mSettled;
    private boolean mHasList;
    private long mLastRoundNanos;
    private boolean mStarted;
    private long mPauses;

    /** A probe that waits for its answer. */
    private record Probe(String target, long sentNanos, boolean relayed) {}

    /** A probe sent for another node. */
    private record Relay(String asker, long sequence) {}

    /**
     * Creates the state of a node that knows nobody.
     *
     * @param self this node's id
     * @param domain its failure domain
     * @param incarnation higher than in any earlier life, as far as the clock can tell
     * @param timing the protocol's times
     */
    public Membership(String self, String domain, long incarnation, MembershipTiming timing) {
        mSelf = requireText("node id", self);
        mDomain = requireText("failure domain", domain);
        mIncarnation = incarnation;
        mTiming = requireValue("timing", timing);
        long seed = Rendezvous.hash(self) ^ incarnation;
        mDomainOrder = new ProbeOrder(seed);
        mAllOrder = new ProbeOrder(seed + 1);
        mLostOrder = new ProbeOrder(seed + 2);
    }

    /**
     * Takes the platform's list of entry nodes.
     *
     * @param nodes the failure domain of each listed node that isn't leaving
     */
    public void listed(Map<String, String> nodes) {
        mHasList = true;
        mListed = new TreeMap<>(nodes);
        mListed.remove(mSelf);
        mBeliefs.listed(mListed.keySet());
        settle();
    }

    /** Latches once every listed node of the own domain was heard or failed to answer. */
    private void settle() {
        mSettled =
                mSettled
                        || mHasList
                                && mListed.entrySet().stream()
                                        .filter(e -> e.getValue().equals(mDomain))
                                        .allMatch(e -> mResolved.contains(e.getKey()));
    }

    /**
     * Lets time pass; call it a few times in each period.
     *
     * @param now the monotonic time in nanoseconds
     * @return messages to send
     */
    public List<Outgoing> tick(long now) {
        List<Outgoing> out = new ArrayList<>();
        if (!mStarted) {
            mStarted = true;
            mLastRoundNanos = now - mTiming.periodNanos();
        }
        if (now - mLastRoundNanos > mTiming.pauseNanos()) {
            paused(now);
        }
        expireProbes(now, out);
        mBeliefs.expireSuspects(now, mTiming.suspicionNanos());
        if (now - mLastRoundNanos >= mTiming.periodNanos()) {
            mLastRoundNanos = now;
            round(now, out);
        }
        return out;
    }

    /** Gives up all beliefs that rest on time measured before a pause. */
    private void paused(long now) {
        mPauses++;
        mIncarnation++;
        mProbes.clear();
        mRelays.clear();
        mBeliefs.restartSuspicions(now);
        mLastRoundNanos = now - mTiming.periodNanos();
        mBeliefs.spread(selfUpdate());
    }

    private void round(long now, List<Outgoing> out) {
        Set<String> usable = mBeliefs.usable();
        List<String> near = usable.stream().filter(n -> mDomain.equals(mListed.get(n))).toList();
        List<String> lost = mListed.keySet().stream().filter(n -> !usable.contains(n)).toList();
        Set<String> targets = new LinkedHashSet<>();
        mDomainOrder.next(near).ifPresent(targets::add);
        mAllOrder.next(usable).ifPresent(targets::add);
        List<String> nearLost = lost.stream().filter(n -> mDomain.equals(mListed.get(n))).toList();
        int lostProbes = mSettled ? LOST_PROBES : LOST_PROBES_BEFORE_SETTLED;
        for (int i = 0; i < lostProbes; i++) {
            boolean ownDomainFirst = !mSettled && !nearLost.isEmpty();
            mLostOrder.next(ownDomainFirst ? nearLost : lost).ifPresent(targets::add);
        }
        targets.forEach(t -> probe(now, t, out));
    }

    private void probe(long now, String target, List<Outgoing> out) {
        long sequence = mSequence++;
        mProbes.put(sequence, new Probe(target, now, false));
        out.add(send(GossipMessage.Kind.PING, target, sequence, target));
    }

    private Outgoing send(GossipMessage.Kind kind, String to, long sequence, String subject) {
        return new Outgoing(
                to,
                new GossipMessage(
                        kind, mSelf, mIncarnation, sequence, subject, mBeliefs.newsFor(to)));
    }

    private void expireProbes(long now, List<Outgoing> out) {
        for (Map.Entry<Long, Probe> e : List.copyOf(mProbes.entrySet())) {
            Probe p = e.getValue();
            long age = now - p.sentNanos();
            if (age >= mTiming.periodNanos()) {
                mProbes.remove(e.getKey());
                mResolved.add(p.target());
                settle();
                mBeliefs.suspect(p.target(), now);
            } else if (age >= mTiming.ackNanos() && !p.relayed()) {
                mProbes.put(e.getKey(), new Probe(p.target(), p.sentNanos(), true));
                askHelpers(e.getKey(), p.target(), out);
            }
        }
    }

    private void askHelpers(long sequence, String target, List<Outgoing> out) {
        mBeliefs.usable().stream()
                .filter(n -> !n.equals(target))
                .sorted(
                        Comparator.comparingLong(
                                n -> Rendezvous.weight(sequence, Rendezvous.hash(n))))
                .limit(HELPERS)
                .forEach(n -> out.add(send(GossipMessage.Kind.PING_REQUEST, n, sequence, target)));
    }

    /**
     * Takes a message.
     *
     * @param now the monotonic time in nanoseconds
     * @param message the message
     * @return messages to send
     */
    public List<Outgoing> receive(long now, GossipMessage message) {
        List<Outgoing> out = new ArrayList<>();
        if (mBeliefs.heard(message.from(), message.incarnation(), now)) {
            mResolved.add(message.from());
            settle();
        }
        message.updates().forEach(u -> learn(u, now));
        switch (message.kind()) {
            case PING ->
                    out.add(
                            send(
                                    GossipMessage.Kind.ACK,
                                    message.from(),
                                    message.sequence(),
                                    mSelf));
            case PING_REQUEST -> relay(message, out);
            case ACK -> acknowledged(message, now, out);
            default -> throw new IllegalArgumentException("expected a known kind");
        }
        return out;
    }

    private void relay(GossipMessage request, List<Outgoing> out) {
        if (mListed.containsKey(request.subject())) {
            long sequence = mSequence++;
            mRelays.put(sequence, new Relay(request.from(), request.sequence()));
            mRelays.keySet().removeIf(s -> s < sequence - 1_000);
            out.add(send(GossipMessage.Kind.PING, request.subject(), sequence, request.subject()));
        }
    }

    private void acknowledged(GossipMessage ack, long now, List<Outgoing> out) {
        Probe probe = mProbes.remove(ack.sequence());
        if (probe != null && probe.relayed() && !ack.from().equals(probe.target())) {
            mBeliefs.unsuspect(probe.target());
        }
        Relay relay = mRelays.remove(ack.sequence());
        if (relay != null) {
            out.add(send(GossipMessage.Kind.ACK, relay.asker(), relay.sequence(), ack.from()));
        }
    }

    private void learn(MemberUpdate update, long now) {
        if (update.node().equals(mSelf)) {
            refute(update);
            return;
        }
        mBeliefs.learn(update, now);
    }

    private void refute(MemberUpdate update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= mIncarnation) {
            mIncarnation = update.incarnation() + 1;
            mBeliefs.spread(selfUpdate());
        }
    }

    private MemberUpdate selfUpdate() {
        return new MemberUpdate(mSelf, mIncarnation, MemberState.ALIVE);
    }

    /**
     * Says goodbye on a planned stop.
     *
     * @return messages that tell some other nodes; they spread the news
     */
    public List<Outgoing> leave() {
        mBeliefs.spread(new MemberUpdate(mSelf, mIncarnation, MemberState.LEFT));
        return mBeliefs.usable().stream()
                .sorted(
                        Comparator.<String, Boolean>comparing(n -> !mDomain.equals(mListed.get(n)))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(Rumours.PER_MESSAGE)
                .map(n -> send(GossipMessage.Kind.PING, n, mSequence++, n))
                .toList();
    }

    /**
     * Returns the nodes that work may go to.
     *
     * @return ids; this node's own once it has had time to hear of the others
     */
    public SortedSet<String> usable() {
        SortedSet<String> all = new TreeSet<>(mBeliefs.usable());
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
    public long pauses() {
        return mPauses;
    }

    /**
     * Returns what is believed of each other listed node.
     *
     * @return an unmodifiable view
     */
    public SortedMap<String, MemberUpdate> known() {
        return mBeliefs.known();
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
