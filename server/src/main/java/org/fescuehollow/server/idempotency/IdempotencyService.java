package org.fescuehollow.server.idempotency;

import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldKnowOutcome;
import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldUseTicket;

import io.vertx.core.buffer.Buffer;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.idempotency.LedgerAnswer;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.idempotency.TicketLedger;
import org.fescuehollow.idempotency.TicketSeal;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.front.CallRunner;
import org.fescuehollow.server.routing.RoutingService;

/**
 * Runs calls that must not repeat at most once, by tickets that this process has minted.
 *
 * <p>Invariant: the record of a ticket is in place before its call is handed on. Used on the node's
 * loop.
 */
public final class IdempotencyService implements Service, CallRunner {
    /** The name under which other services find this one. */
    public static final String NAME = "idempotency";

    private static final int SECRET_BYTES = 32;

    private final NodeConfig mConfig;
    private final TicketLedger mLedger;
    private RoutingService mRouting;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param incarnation names this process's life, unlike any before it
     */
    public IdempotencyService(NodeConfig config, String incarnation) {
        mConfig = config;
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        mLedger =
                new TicketLedger(
                        config.nodeId(),
                        incarnation,
                        new TicketSeal(secret),
                        config.limits().ledgerEntries());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mRouting = kernel.find(RoutingService.NAME, RoutingService.class);
    }

    @Override
    public String mint() {
        return mLedger.mint().toString();
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
        if (!mLedger.isOwn(ticket.get())) {
            sink.failed(shouldKnowOutcome("the node that minted the ticket can't be reached"));
            return () -> {};
        }
        return runOnce(ticket.get(), call, sink);
    }

    private CallHandle runOnce(Ticket ticket, Call call, AnswerSink sink) {
        LedgerAnswer answer = mLedger.begin(ticket, call.digest());
        if (answer instanceof LedgerAnswer.Replay replay) {
            replay(replay.outcome(), sink);
            return () -> {};
        }
        if (answer instanceof LedgerAnswer.Refuse refuse) {
            sink.failed(refuse.problem());
            return () -> {};
        }
        RecordingSink recording = new RecordingSink(sink, o -> mLedger.end(ticket, o));
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

    @Override
    public void stop() {}

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("remembered", mLedger.size());
        out.put("forgotten_below", mLedger.forgottenBelow());
        return out;
    }
}
