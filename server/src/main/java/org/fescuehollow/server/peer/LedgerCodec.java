package org.fescuehollow.server.peer;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.fescuehollow.idempotency.LedgerRecord;
import org.fescuehollow.idempotency.LedgerSnapshot;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.wire.PeerProto;

/** Translates ledgers that are handed over. Stateless and safe for use by any thread. */
public final class LedgerCodec {
    private LedgerCodec() {}

    /**
     * Encodes a snapshot.
     *
     * @param s the snapshot
     * @return the message
     */
    public static PeerProto.HandOver snapshot(LedgerSnapshot s) {
        PeerProto.HandOver.Builder b =
                PeerProto.HandOver.newBuilder()
                        .setNode(s.node())
                        .setIncarnation(s.incarnation())
                        .setSecret(ByteString.copyFrom(s.secret()))
                        .setNextSerial(s.nextSerial())
                        .setForgottenBelow(s.forgottenBelow());
        s.records().forEach(r -> b.addEntries(record(r)));
        return b.build();
    }

    private static PeerProto.LedgerEntry record(LedgerRecord r) {
        PeerProto.LedgerEntry.Builder b =
                PeerProto.LedgerEntry.newBuilder()
                        .setSerial(r.serial())
                        .setDigest(r.digest())
                        .setEnded(r.outcome().isPresent());
        r.outcome()
                .ifPresent(
                        o -> {
                            b.setStatus(o.status())
                                    .setContentType(o.contentType())
                                    .setBody(ByteString.copyFrom(o.body()));
                            o.problem().map(PeerCodec::problem).ifPresent(b::setProblem);
                        });
        return b.build();
    }

    /**
     * Decodes a snapshot.
     *
     * @param m the message
     * @return the snapshot
     */
    public static LedgerSnapshot snapshot(PeerProto.HandOver m) {
        return new LedgerSnapshot(
                m.getNode(),
                m.getIncarnation(),
                m.getSecret().toByteArray(),
                m.getNextSerial(),
                m.getForgottenBelow(),
                m.getEntriesList().stream().map(LedgerCodec::record).toList());
    }

    private static LedgerRecord record(PeerProto.LedgerEntry m) {
        Optional<Outcome> outcome =
                m.getEnded()
                        ? Optional.of(
                                new Outcome(
                                        m.getStatus(),
                                        m.getContentType(),
                                        m.getBody().toByteArray(),
                                        m.hasProblem()
                                                ? Optional.of(PeerCodec.problem(m.getProblem()))
                                                : Optional.empty()))
                        : Optional.empty();
        return new LedgerRecord(m.getSerial(), m.getDigest(), outcome);
    }
}
