package org.fescuehollow.server.peer;

import java.time.Duration;
import java.util.List;
import org.fescuehollow.membership.GossipMessage;
import org.fescuehollow.membership.MemberState;
import org.fescuehollow.membership.MemberUpdate;
import org.fescuehollow.suspects.CrashSuspects;
import org.fescuehollow.wire.PeerProto;

/** Translates datagrams of the membership protocol. Stateless and safe for use by any thread. */
public final class GossipCodec {
    private GossipCodec() {}

    /**
     * Encodes a message with what else rides on it.
     *
     * @param m the membership message
     * @param settingsDigest digest of the sender's settings
     * @param findings findings on crashing requests
     * @param now the sender's monotonic time in nanoseconds
     * @return the datagram
     */
    public static PeerProto.Gossip encode(
            GossipMessage m, long settingsDigest, List<CrashSuspects.Finding> findings, long now) {
        PeerProto.Gossip.Builder b =
                PeerProto.Gossip.newBuilder()
                        .setFrom(m.from())
                        .setIncarnation(m.incarnation())
                        .setSequence(m.sequence())
                        .setKind(PeerProto.Gossip.Kind.valueOf(m.kind().name()))
                        .setSubject(m.subject())
                        .setSettingsDigest(settingsDigest);
        m.updates()
                .forEach(
                        u ->
                                b.addUpdates(
                                        PeerProto.MemberUpdate.newBuilder()
                                                .setNode(u.node())
                                                .setIncarnation(u.incarnation())
                                                .setState(
                                                        PeerProto.MemberUpdate.State.valueOf(
                                                                u.state().name()))));
        findings.forEach(f -> b.addFindings(finding(f, now)));
        return b.build();
    }

    /**
     * Encodes a finding.
     *
     * @param f the finding
     * @param now the sender's monotonic time in nanoseconds
     * @return the message
     */
    public static PeerProto.CrashFinding finding(CrashSuspects.Finding f, long now) {
        long age = Duration.ofNanos(now - f.lastCrashNanos()).toSeconds();
        return PeerProto.CrashFinding.newBuilder()
                .setDigest(f.digest())
                .setCrashes(f.crashes())
                .setAgeSeconds((int) age)
                .build();
    }

    /**
     * Decodes the membership part of a datagram.
     *
     * @param g the datagram
     * @return the message
     * @throws IllegalArgumentException if the datagram comes from a newer protocol
     */
    public static GossipMessage message(PeerProto.Gossip g) {
        if (g.getKind() == PeerProto.Gossip.Kind.UNRECOGNIZED) {
            throw new IllegalArgumentException("expected a known kind of message");
        }
        return new GossipMessage(
                GossipMessage.Kind.valueOf(g.getKind().name()),
                g.getFrom(),
                g.getIncarnation(),
                g.getSequence(),
                g.getSubject(),
                g.getUpdatesList().stream()
                        .filter(u -> u.getState() != PeerProto.MemberUpdate.State.UNRECOGNIZED)
                        .map(
                                u ->
                                        new MemberUpdate(
                                                u.getNode(),
                                                u.getIncarnation(),
                                                MemberState.valueOf(u.getState().name())))
                        .toList());
    }

    /**
     * Decodes findings.
     *
     * @param g the messages
     * @param now the receiver's monotonic time in nanoseconds
     * @return the findings
     */
    public static List<CrashSuspects.Finding> findings(List<PeerProto.CrashFinding> g, long now) {
        return g.stream()
                .map(
                        f ->
                                new CrashSuspects.Finding(
                                        f.getDigest(),
                                        f.getCrashes(),
                                        now
                                                - Duration.ofSeconds(
                                                                Integer.toUnsignedLong(
                                                                        f.getAgeSeconds()))
                                                        .toNanos()))
                .toList();
    }
}
