package org.fescuehollow.server.coordination;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.placement.Order;
import org.fescuehollow.placement.Work;
import org.fescuehollow.server.backend.AdminReply;
import org.fescuehollow.server.backend.BackendClient;
import org.fescuehollow.server.backend.EngineProtocol;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.settings.ServicePolicy;

/**
 * Carries out the orders of one backend server's coordinator.
 *
 * <p>Invariants: every order is carried out once and its result told to the coordinator; every
 * attempt ends exactly once. Used on the node's loop.
 */
final class ServerPost {
    private static final Logger LOG = System.getLogger(ServerPost.class.getName());

    private final Vm mServer;
    private final EngineCoordinator mCoordinator;
    private final BackendClient mClient;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final long mQuietNanos;
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private boolean mInspecting;
    private boolean mDown;

    ServerPost(
            Vm server,
            EngineCoordinator coordinator,
            BackendClient client,
            NodeLoop loop,
            Metrics metrics,
            long quietNanos) {
        mServer = server;
        mCoordinator = coordinator;
        mClient = client;
        mLoop = loop;
        mMetrics = metrics;
        mQuietNanos = quietNanos;
    }

    void begin() {
        carryOut(mCoordinator.begin(mLoop.now(), mQuietNanos));
    }

    void configure(ServicePolicy policy) {
        carryOut(mCoordinator.configure(mLoop.now(), policy));
    }

    void tick() {
        if (mCoordinator.queued() > 0) {
            carryOut(mCoordinator.tick(mLoop.now()));
        }
    }

    void retire() {
        carryOut(mCoordinator.retire());
    }

    boolean isIdle() {
        return mCoordinator.isIdle();
    }

    CallHandle submit(String attempt, Call call, boolean mayRedirect, AnswerSink sink) {
        long now = mLoop.now();
        Work work =
                new Work(
                        attempt,
                        call.team(),
                        call.weight(),
                        call.priority(),
                        call.adapter(),
                        now,
                        now + Duration.ofMillis(call.patienceMillis()).toNanos(),
                        mayRedirect);
        mAttempts.put(attempt, new Attempt(call, sink, () -> ended(attempt)));
        carryOut(mCoordinator.submit(now, work));
        return () -> cancel(attempt);
    }

    private void cancel(String attempt) {
        if (mCoordinator.cancel(attempt)) {
            mAttempts.remove(attempt);
        } else {
            Optional.ofNullable(mAttempts.get(attempt)).ifPresent(Attempt::cancelRunning);
        }
    }

    private void ended(String attempt) {
        mAttempts.remove(attempt);
        carryOut(mCoordinator.finished(mLoop.now(), attempt));
    }

    private void carryOut(List<Order> orders) {
        orders.forEach(this::carryOut);
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Load load) {
            load(load);
        } else if (order instanceof Order.Unload unload) {
            unload(unload);
        } else if (order instanceof Order.Start start) {
            start(start);
        } else if (order instanceof Order.Refuse refuse) {
            remove(refuse.work()).refused(s -> s.failed(refuse.problem()));
        } else if (order instanceof Order.Redirect redirect) {
            remove(redirect.work()).refused(AnswerSink::redirected);
        } else {
            inspect();
        }
    }

    private Attempt remove(Work work) {
        return mAttempts.remove(work.attempt());
    }

    private void load(Order.Load load) {
        mClient.order(mServer, EngineProtocol.LOAD_PATH, load.adapter(), load.fencing())
                .onSuccess(reply -> loadEnded(load.adapter(), reply));
    }

    private void loadEnded(AdapterRef adapter, AdminReply reply) {
        boolean ok = reply == AdminReply.DONE;
        mMetrics.load(mServer.service(), ok);
        noticeFencing(reply);
        carryOut(mCoordinator.loaded(mLoop.now(), adapter, ok));
    }

    private void unload(Order.Unload unload) {
        mClient.order(mServer, EngineProtocol.UNLOAD_PATH, unload.adapter(), unload.fencing())
                .onSuccess(reply -> unloadEnded(unload.adapter(), reply));
    }

    private void unloadEnded(AdapterRef adapter, AdminReply reply) {
        noticeFencing(reply);
        carryOut(mCoordinator.unloaded(mLoop.now(), adapter, reply == AdminReply.DONE));
    }

    private void noticeFencing(AdminReply reply) {
        if (reply == AdminReply.FENCED) {
            mMetrics.event("order_fenced");
            carryOut(mCoordinator.begin(mLoop.now(), mQuietNanos));
        }
    }

    private void start(Order.Start start) {
        String id = start.work().attempt();
        Attempt attempt = mAttempts.get(id);
        Call call = attempt.call();
        mMetrics.started(call.service(), call.priority(), start.stalled(), start.waitedNanos());
        attempt.runs(
                mClient.send(
                        mServer,
                        call,
                        id,
                        attempt,
                        (status, type) ->
                                attempt.head(
                                        new AnswerHead(
                                                status,
                                                type,
                                                mServer.id(),
                                                start.stalled(),
                                                start.waitedNanos() / 1_000))));
    }

    /** Asks an engine for its report, unless one is asked for already. */
    void inspect() {
        if (mInspecting) {
            return;
        }
        mInspecting = true;
        mClient.inspect(mServer).onSuccess(this::inspected).onFailure(this::notInspected);
    }

    private void inspected(EngineReport report) {
        mInspecting = false;
        if (mDown) {
            mDown = false;
            LOG.log(Level.INFO, "backend server " + mServer.id() + " answers");
        }
        carryOut(mCoordinator.reported(mLoop.now(), report));
    }

    private void notInspected(Throwable cause) {
        mInspecting = false;
        if (!mDown) {
            mDown = true;
            mMetrics.event("server_lost");
            LOG.log(
                    Level.WARNING,
                    "backend server " + mServer.id() + " is silent: " + cause.getMessage());
        }
    }

    Vm server() {
        return mServer;
    }

    SortedMap<String, Object> dump() {
        SortedMap<String, Object> out = mCoordinator.dump();
        out.put("answers", !mDown);
        return out;
    }
}
