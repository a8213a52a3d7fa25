package org.fescuehollow.server.peer;

import static org.fescuehollow.internal.Preconditions.requireInRange;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;
import org.fescuehollow.placement.AdmissionMode;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.placement.Urgency;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.settings.Revision;
import org.fescuehollow.settings.SettingsEntry;
import org.fescuehollow.settings.SettingsSync;
import org.fescuehollow.wire.PeerProto;

/**
 * Translates between messages on the wire and the types of the decisions.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     * Encodes a call.
     *
     * @param c the call
     * @return the message
     */
    public static PeerProto.Call call(Call c) {
        PeerProto.Call.Builder b =
                PeerProto.Call.newBuilder()
                        .setId(c.id())
                        .setTeam(c.team())
                        .setWeight(c.weight())
                        .setPriority(c.priority().ordinal())
                        .setService(c.service())
                        .setMethod(c.method())
                        .setPath(c.path())
                        .setContentType(c.contentType())
                        .setTraceParent(c.traceParent())
                        .setBody(ByteString.copyFrom(c.body().getBytes()))
                        .setStream(c.stream())
                        .setRepeatable(c.repeatable())
                        .setPatienceMillis(c.patienceMillis())
                        .setCrashes(c.crashes());
        c.adapter().ifPresent(a -> b.setAdapterName(a.name()).setAdapterVersion(a.version()));
        return b.build();
    }

    /**
     * Decodes a call.
     *
     * @param m the message
     * @return the call
     * @throws IllegalArgumentException if a member is out of range
     */
    public static Call call(PeerProto.Call m) {
        Optional<AdapterRef> adapter =
                m.getAdapterName().isEmpty()
                        ? Optional.empty()
                        : Optional.of(new AdapterRef(m.getAdapterName(), m.getAdapterVersion()));
        return new Call(
                m.getId(),
                m.getTeam(),
                m.getWeight(),
                priority(m.getPriority()),
                m.getService(),
                adapter,
                m.getMethod(),
                m.getPath(),
                m.getContentType(),
                m.getTraceParent(),
                Buffer.buffer(m.getBody().toByteArray()),
                m.getStream(),
                m.getRepeatable(),
                m.getPatienceMillis(),
                m.getCrashes());
    }

    /**
     * Encodes a problem.
     *
     * @param p the problem
     * @return the message
     */
    public static PeerProto.Problem problem(Problem p) {
        return PeerProto.Problem.newBuilder()
                .setCode(p.code().name())
                .setRan(p.runState().name())
                .setDetail(p.detail())
                .setRemedy(p.remedy())
                .setRetryAfterSeconds(p.retryAfterSeconds().orElse(0))
                .setTicket(p.ticket().orElse(""))
                .setCrashes(p.crashCount())
                .build();
    }

    /**
     * Decodes a problem.
     *
     * @param m the message
     * @return the problem
     * @throws IllegalArgumentException if the code or run state is unknown
     */
    public static Problem problem(PeerProto.Problem m) {
        return new Problem(
                ErrorCode.valueOf(m.getCode()),
                RunState.valueOf(m.getRan()),
                m.getDetail(),
                m.getRemedy(),
                m.getRetryAfterSeconds() == 0
                        ? OptionalInt.empty()
                        : OptionalInt.of(m.getRetryAfterSeconds()),
                m.getTicket().isEmpty() ? Optional.empty() : Optional.of(m.getTicket()),
                m.getCrashes());
    }

    /**
     * Decodes how much a load needs a permit.
     *
     * @param m the message
     * @return the urgency
     * @throws IllegalArgumentException if the priority is out of range
     */
    public static Urgency urgency(PeerProto.BorrowPermit m) {
        return new Urgency(m.getOverShare(), priority(m.getPriority()), m.getWaitedMillis());
    }

    private static Priority priority(int number) {
        Priority[] values = Priority.values();
        return values[(int) requireInRange("priority", number, 0, values.length - 1L)];
    }

    /**
     * Encodes a quote.
     *
     * @param q the quote
     * @return the message
     */
    public static PeerProto.Declined quote(Quote q) {
        return PeerProto.Declined.newBuilder()
                .setCrowded(q.crowded())
                .setPrice(q.evictionCost())
                .setUses(q.uses())
                .build();
    }

    /**
     * Decodes a quote.
     *
     * @param m the message
     * @return the quote
     */
    public static Quote quote(PeerProto.Declined m) {
        return new Quote(m.getCrowded(), m.getPrice(), m.getUses());
    }

    /**
     * Decodes how firmly an attempt asks.
     *
     * @param m the message
     * @return how firmly it asks
     * @throws IllegalArgumentException if the number is out of range
     */
    public static Firmness firmness(PeerProto.Submit m) {
        AdmissionMode[] values = AdmissionMode.values();
        int ask = (int) requireInRange("ask", m.getAsk(), 0, values.length - 1L);
        return new Firmness(values[ask], m.getUses());
    }

    /**
     * Encodes an answer's head.
     *
     * @param h the head
     * @return the message
     */
    public static PeerProto.AnswerHead head(AnswerHead h) {
        return PeerProto.AnswerHead.newBuilder()
                .setStatus(h.status())
                .setContentType(h.contentType())
                .setServer(h.server())
                .setStalled(h.stalled())
                .setWaitedMicros(h.waitedMicros())
                .build();
    }

    /**
     * Decodes an answer's head.
     *
     * @param m the message
     * @return the head
     */
    public static AnswerHead head(PeerProto.AnswerHead m) {
        return new AnswerHead(
                m.getStatus(),
                m.getContentType(),
                m.getServer(),
                m.getStalled(),
                m.getWaitedMicros());
    }

    /**
     * Encodes settings entries.
     *
     * @param entries the entries
     * @return the message
     */
    public static PeerProto.SettingsPush push(List<SettingsEntry> entries) {
        PeerProto.SettingsPush.Builder b = PeerProto.SettingsPush.newBuilder();
        entries.forEach(
                e -> {
                    PeerProto.SettingsEntry.Builder m =
                            PeerProto.SettingsEntry.newBuilder()
                                    .setPath(e.path())
                                    .setRevision(e.revision().number());
                    e.text().ifPresent(m::setText);
                    b.addEntries(m);
                });
        return b.build();
    }

    /**
     * Decodes settings entries.
     *
     * @param m the message
     * @return the entries
     */
    public static List<SettingsEntry> entries(PeerProto.SettingsPush m) {
        return m.getEntriesList().stream()
                .map(
                        e ->
                                new SettingsEntry(
                                        e.getPath(),
                                        new Revision(e.getRevision()),
                                        e.hasText() ? Optional.of(e.getText()) : Optional.empty()))
                .toList();
    }

    /**
     * Encodes an offer of settings.
     *
     * @param o the offer
     * @return the message
     */
    public static PeerProto.SettingsOffer offer(SettingsSync.Offer o) {
        PeerProto.SettingsOffer.Builder b = PeerProto.SettingsOffer.newBuilder();
        b.addAllBuckets(o.buckets());
        o.paths()
                .forEach(
                        p ->
                                b.addPaths(
                                        PeerProto.PathRevision.newBuilder()
                                                .setPath(p.path())
                                                .setAccepted(p.accepted())
                                                .setNewest(p.newest())));
        return b.build();
    }

    /**
     * Decodes an offer of settings.
     *
     * @param m the message
     * @return the offer
     */
    public static SettingsSync.Offer offer(PeerProto.SettingsOffer m) {
        return new SettingsSync.Offer(
                Set.copyOf(m.getBucketsList()),
                m.getPathsList().stream()
                        .map(
                                p ->
                                        new SettingsSync.PathRevision(
                                                p.getPath(), p.getAccepted(), p.getNewest()))
                        .toList());
    }
}
