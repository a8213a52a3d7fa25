package org.fescuehollow.server.idempotency;

import static org.fescuehollow.error.ShouldUseIssuedTicket.shouldUseIssuedTicket;
import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldUseTicket;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.idempotency.LedgerDecision;
import org.fescuehollow.idempotency.LedgerSnapshot;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.idempotency.TicketLedger;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.front.CallRunner;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.LedgerCodec;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.routing.RoutingService;
import org.fescuehollow.wire.PeerProto;

/**
 * Runs calls that must not repeat at most once, by tickets.
 *
 * <p>The node that minted a ticket runs its call; the others pass the call on to it. A node that
 * stops hands its ledger to another, which answers for its tickets from then on.
 *
 * <p>Invariant: the record of a ticket is in place before its call is handed on. Used on the node's
 * loop.
 */
public final class IdempotencyService implements Service, CallRunner {
    /** The name under which other services find this one. */
    public static final String NAME = "idempotency";

    private static final Logger LOG = System.getLogger(IdempotencyService.class.getName());
    private static final int SECRET_BYTES = 32;
    private static final int SUCCESSORS_ASKED = 3;
    private static final long HAND_OVER_MILLIS = 5_000;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final String mIncarnation;
    private final TicketLedger mOwn;
    private final Map<String, TicketLedger> mLedgers = new HashMap<>();
    private RoutingService mRouting;
    private FleetService mFleet;
    private PeerService mPeers;
    private final Promise<Void> mHandOver = Promise.promise();
    private Optional<String> mSuccessor = Optional.empty();

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     * @param incarnation names this process's life, unlike any before it
     */
    public IdempotencyService(
            NodeConfig config, NodeLoop loop, Metrics metrics, String incarnation) {
        mConfig = config;
        mLoop = loop;
        mMetrics = metrics;
        mIncarnation = incarnation;
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        mOwn =
                new TicketLedger(
                        config.nodeId(), incarnation, secret, config.limits().ledgerEntries());
        mLedgers.put(config.nodeId() + "/" + incarnation, mOwn);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mRouting = kernel.find(RoutingService.NAME, RoutingService.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mPeers = kernel.find(PeerService.NAME, PeerService.class);
        mLoop.run(
                () -> {
                    mPeers.onTicket(this::runForPeer);
                    mPeers.onNews(PeerProto.Frame.BodyCase.HAND_OVER, this::adopt);
                    mPeers.onNews(
                            PeerProto.Frame.BodyCase.HAND_OVER_TAKEN,
                            (node, frame, reply) -> mHandOver.tryComplete());
                });
    }

    @Override
    public String mint() {
        return mOwn.issue().toString();
    }

    @Override
    public CallHandle run(Call call, Optional<String> key, AnswerSink sink) {
        if (call.repeatable() || key.isEmpty()) {
            return mRouting.run(call, sink);
        }
        Optional<Ticket> ticket = Ticket.parse(key.get());
        if (ticket.isEmpty()) {
            sink.failed(shouldUseTicket(mint()));
            return () -> {};
        }
        Optional<TicketLedger> ledger = ledgerOf(ticket.get());
        return ledger.isPresent()
                ? runOnce(ledger.get(), ticket.get(), call, sink)
                : new ForwardedCall(mPeers, holders(ticket.get()), ticket.get(), call, sink)
                        .begin();
    }

    private Optional<TicketLedger> ledgerOf(Ticket ticket) {
        return Optional.ofNullable(mLedgers.get(ticket.node() + "/" + ticket.incarnation()));
    }

    /** The nodes that may answer for a ticket: its minter, then those it would hand over to. */
    private List<String> holders(Ticket ticket) {
        List<String> holders = new ArrayList<>();
        if (mFleet.liveNodes().contains(ticket.node())) {
            holders.add(ticket.node());
        }
        successors(ticket.node()).limit(SUCCESSORS_ASKED).forEach(holders::add);
        return holders;
    }

    private Stream<String> successors(String node) {
        long key = Rendezvous.hash(node);
        return mFleet.liveNodes().stream()
                .filter(n -> !n.equals(node) && !n.equals(mConfig.nodeId()))
                .sorted(Comparator.comparingLong(n -> Rendezvous.weight(key, Rendezvous.hash(n))));
    }

    private CallHandle runForPeer(String text, Call call, AnswerSink sink) {
        Optional<Ticket> ticket = Ticket.parse(text);
        Optional<TicketLedger> ledger = ticket.flatMap(this::ledgerOf);
        if (ledger.isEmpty()) {
            sink.declined(Quote.UNAVAILABLE);
            return () -> {};
        }
        return runOnce(ledger.get(), ticket.get(), call, sink);
    }

    private CallHandle runOnce(TicketLedger ledger, Ticket ticket, Call call, AnswerSink sink) {
        if (!ledger.hasIssued(ticket)) {
            sink.failed(shouldUseIssuedTicket());
            return () -> {};
        }
        LedgerDecision answer = ledger.begin(ticket, call.digest());
        if (answer instanceof LedgerDecision.Replay replay) {
            replay(replay.outcome(), sink);
            return () -> {};
        }
        if (answer instanceof LedgerDecision.Refuse refuse) {
            sink.failed(refuse.problem());
            return () -> {};
        }
        RecordingSink recording = new RecordingSink(sink, o -> ledger.complete(ticket, o));
        mRouting.run(call, recording);
        return recording::callerGone;
    }

    private void replay(Outcome outcome, AnswerSink sink) {
        if (outcome.problem().isPresent()) {
            sink.failed(outcome.problem().get());
            return;
        }
        sink.head(
                new AnswerHead(
                        outcome.status(), outcome.contentType(), mConfig.nodeId(), false, 0));
        sink.chunk(Buffer.buffer(outcome.body()));
        sink.end();
    }

    /**
     * Hands all ledgers to another node; afterwards no ticket of theirs runs here.
     *
     * @return completes when the receiver has them, or after a while without an answer
     */
    public Future<Void> handOver() {
        mLoop.run(
                () -> {
                    Optional<String> successor = successors(mConfig.nodeId()).findFirst();
                    if (successor.isEmpty()) {
                        mHandOver.tryComplete();
                        return;
                    }
                    mSuccessor = successor;
                    mLedgers.values().forEach(l -> sendLedger(l.handOver()));
                    mLoop.after(HAND_OVER_MILLIS, mHandOver::tryComplete);
                });
        return mHandOver.future();
    }

    private void sendLedger(LedgerSnapshot snapshot) {
        PeerProto.Frame frame =
                PeerProto.Frame.newBuilder().setHandOver(LedgerCodec.snapshot(snapshot)).build();
        mPeers.send(mSuccessor.orElseThrow(), frame);
    }

    private void adopt(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        LedgerSnapshot snapshot = LedgerCodec.snapshot(frame.getHandOver());
        if (mSuccessor.isPresent()) {
            sendLedger(snapshot);
        }
        mLedgers.putIfAbsent(
                snapshot.ledgerId(),
                TicketLedger.fromSnapshot(snapshot, mConfig.limits().ledgerEntries()));
        mMetrics.event("ledger_adopted");
        LOG.log(Level.INFO, "answers for the tickets of " + snapshot.ledgerId());
        reply.accept(
                PeerProto.Frame.newBuilder()
                        .setHandOverTaken(PeerProto.HandOverTaken.getDefaultInstance())
                        .build());
    }

    @Override
    public void stop() {}

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mLedgers.forEach(
                (owner, l) ->
                        out.put(
                                owner,
                                l.size() + " remembered, forgotten below " + l.forgottenBelow()));
        out.put("own", mConfig.nodeId() + "/" + mIncarnation);
        return out;
    }
}
