package org.fescuehollow.server.coordination;

import static org.fescuehollow.error.ShouldNotCrashBackends.shouldNotCrashBackends;

import io.netty.channel.ConnectTimeoutException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.AttemptSpec;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.placement.Order;
import org.fescuehollow.server.backend.AdminReply;
import org.fescuehollow.server.backend.EngineProtocol;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Carries out the orders of one backend server's coordinator.
 *
 * <p>Invariants: every order is carried out once and its result told to the coordinator; every
 * attempt ends exactly once. Used on the node's loop.
 */
final class ServerPost {
    private static final Logger LOG = System.getLogger(ServerPost.class.getName());
    private static final int MAX_SILENCES = 4;
    private static final long SILENCE_MILLIS = 20;

    private final Vm mServer;
    private final EngineCoordinator mCoordinator;
    private final PostContext mContext;
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private final BrokenAttempts mBroken;
    private String mIncarnation = "";
    private boolean mInspecting;
    private boolean mAskAgain;
    private int mSilences;
    private boolean mDown;

    ServerPost(Vm server, EngineCoordinator coordinator, PostContext context) {
        mServer = server;
        mCoordinator = coordinator;
        mContext = context;
        mBroken = new BrokenAttempts(context.suspects());
    }

    private long now() {
        return mContext.loop().now();
    }

    void begin() {
        carryOut(mCoordinator.beginTerm(now(), mContext.quietNanos()));
    }

    void configure(ServicePolicy policy) {
        carryOut(mCoordinator.setPolicy(now(), policy));
    }

    void tick() {
        carryOut(mCoordinator.tick(now()));
    }

    void retire() {
        carryOut(mCoordinator.retire());
    }

    /** Takes that the platform no longer lists the server: what broke with it has crashed it. */
    void serverGone() {
        if (!mBroken.isEmpty()) {
            mBroken.crashed(Map.of());
        }
    }

    boolean isIdle() {
        return mCoordinator.isIdle();
    }

    CallHandle submit(String attempt, Call call, Firmness firmness, AnswerSink sink) {
        long now = now();
        long digest = call.digest();
        int crashes = Math.max(call.crashes(), mContext.suspects().count(digest));
        if (crashes >= CrashSuspects.CRASH_LIMIT) {
            sink.failed(shouldNotCrashBackends(crashes));
            return () -> {};
        }
        if (call.crashes() > 0) {
            mContext.suspects().merge(new CrashSuspects.Finding(digest, call.crashes(), now));
        }
        AttemptSpec work =
                new AttemptSpec(
                        attempt,
                        call.team(),
                        call.weight(),
                        call.priority(),
                        call.adapter(),
                        now,
                        now + Duration.ofMillis(call.patienceMillis()).toNanos(),
                        firmness.ask(),
                        firmness.uses(),
                        crashes > 0);
        mAttempts.put(
                attempt,
                new Attempt(
                        call,
                        sink,
                        () -> ended(attempt),
                        problem -> notRun(attempt, call, problem),
                        (problem, release) -> broke(attempt, digest, problem, release)));
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
        carryOut(mCoordinator.onFinished(now(), attempt));
    }

    /** Takes that an attempt did not run: the engine may be gone, or may have lost the adapter. */
    private void notRun(String attempt, Call call, Problem problem) {
        ended(attempt);
        if (problem.code() == ErrorCode.ADAPTER_MISSING) {
            call.adapter().ifPresent(mCoordinator::onAdapterMissing);
        }
        if (call.adapter().isPresent()) {
            inspect();
        }
    }

    private void broke(String attempt, long digest, Problem problem, Consumer<Problem> release) {
        if (mBroken.add(attempt, digest, problem, release)) {
            inspect();
        }
    }

    private void carryOut(List<Order> orders) {
        orders.forEach(this::carryOut);
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Load load) {
            order(EngineProtocol.LOAD_PATH, load.adapter(), load.fencingNumber(), this::loadEnded);
        } else if (order instanceof Order.Unload unload) {
            order(
                    EngineProtocol.UNLOAD_PATH,
                    unload.adapter(),
                    unload.fencingNumber(),
                    this::unloadEnded);
        } else if (order instanceof Order.Claim claim) {
            order(EngineProtocol.LOAD_PATH, claim.adapter(), claim.fencingNumber(), (a, r) -> {});
        } else if (order instanceof Order.Start start) {
            start(start);
        } else if (order instanceof Order.Refuse refuse) {
            remove(refuse.attempt()).refused(s -> s.failed(refuse.problem()));
        } else if (order instanceof Order.Decline decline) {
            remove(decline.attempt()).refused(s -> s.declined(decline.quote()));
        } else {
            inspect();
        }
    }

    private Attempt remove(AttemptSpec work) {
        return mAttempts.remove(work.id());
    }

    private void order(
            String path, AdapterRef adapter, long fencing, BiConsumer<AdapterRef, Boolean> ended) {
        mContext.client()
                .order(mServer, path, adapter, fencing)
                .onSuccess(
                        reply -> {
                            if (reply == AdminReply.FENCED) {
                                mContext.metrics().event("order_fenced");
                                begin();
                            }
                            ended.accept(adapter, reply == AdminReply.DONE);
                        });
    }

    private void loadEnded(AdapterRef adapter, boolean ok) {
        mContext.metrics().load(mServer.service(), ok);
        carryOut(mCoordinator.onLoaded(now(), adapter, ok));
    }

    private void unloadEnded(AdapterRef adapter, boolean ok) {
        carryOut(mCoordinator.onUnloaded(now(), adapter, ok));
    }

    private void start(Order.Start start) {
        String id = start.attempt().id();
        Attempt attempt = mAttempts.get(id);
        Call call = attempt.call();
        mContext.metrics()
                .started(call.service(), call.priority(), start.stalled(), start.waitedNanos());
        attempt.runs(
                mContext.client()
                        .send(
                                mServer,
                                call,
                                id,
                                attempt,
                                (status, type) -> attempt.head(headOf(start, status, type))));
    }

    private AnswerHead headOf(Order.Start start, int status, String type) {
        return new AnswerHead(
                status, type, mServer.id(), start.stalled(), start.waitedNanos() / 1_000);
    }

    /** Asks an engine for its report; if one is asked for already, asks again after it. */
    void inspect() {
        if (mInspecting) {
            mAskAgain = true;
            return;
        }
        mInspecting = true;
        mAskAgain = false;
        long asked = now();
        mContext.client()
                .inspect(mServer)
                .onSuccess(report -> inspected(asked, report))
                .onFailure(this::notInspected);
    }

    private void inspected(long asked, EngineReport report) {
        mInspecting = false;
        if (mDown) {
            mDown = false;
            LOG.log(Level.INFO, "backend server " + mServer.id() + " answers");
        }
        boolean restarted = !mIncarnation.isEmpty() && !mIncarnation.equals(report.incarnation());
        mIncarnation = report.incarnation();
        carryOut(mCoordinator.onReport(now(), asked, report));
        mSilences = 0;
        if (!mBroken.isEmpty() && restarted) {
            mBroken.crashed(runningDigests());
        } else if (!mAskAgain) {
            mBroken.survived();
        }
        if (mAskAgain) {
            inspect();
        }
    }

    /** The attempts that seem to run, but for those already known to have broken. */
    private Map<String, Long> runningDigests() {
        return mCoordinator.runningAttempts().keySet().stream()
                .filter(mAttempts::containsKey)
                .collect(Collectors.toMap(id -> id, id -> mAttempts.get(id).call().digest()));
    }

    private void notInspected(Throwable cause) {
        mInspecting = false;
        if (!mDown) {
            mDown = true;
            mContext.metrics().event("server_lost");
            LOG.log(
                    Level.WARNING,
                    "backend server " + mServer.id() + " is silent: " + cause.getMessage());
        }
        if (mBroken.isEmpty()) {
            return;
        }
        if (isRefused(cause)) {
            mBroken.crashed(runningDigests());
        } else if (++mSilences <= MAX_SILENCES) {
            mContext.loop().after(SILENCE_MILLIS, this::inspect);
        } else {
            mBroken.silent();
        }
    }

    /** A machine that answers without a process on the port: the process has crashed. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
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
