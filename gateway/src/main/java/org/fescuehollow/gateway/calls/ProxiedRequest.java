package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.Placement;
import org.fescuehollow.dispatch.QueueTimeout;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.residency.AdapterDemand;

/**
 * One request from its arrival to its final answer.
 *
 * <p>Invariants: it ends exactly once; a request that may run only once is sent again only if the
 * attempt before certainly did not run; a refusal that says "not run" is given only if no attempt
 * may have run. Used on the node's loop.
 */
final class ProxiedRequest {
    /** A repeat with less time left than this can't be answered in time. */
    private static final long MIN_RETRY_NANOS = Duration.ofMillis(60).toNanos();

    private final RequestContext mContext;
    private final HttpServerRequest mClientRequest;
    private final Buffer mBody;
    private final Route mRoute;
    private final RequestHead mHead;
    private final RequestLog mLog;
    private DispatchRequest mNeeds;
    private final ClientResponse mResponse;
    private final SseEventSplitter mEventSplitter = new SseEventSplitter();
    private final Set<String> mExcludedEngines = new HashSet<>();
    private Optional<Attempt> mAttempt = Optional.empty();
    private boolean mMayHaveRun;
    private boolean mDone;
    private int mRuns;
    private String mWaitReason = "";
    private String mLoadingEngine = "";
    private long mDeadlineTimer = -1;
    private long mWaitTimer = -1;

    ProxiedRequest(
            RequestContext context,
            HttpServerRequest request,
            Buffer body,
            Route route,
            RequestHead head,
            DispatchRequest needs) {
        mContext = context;
        mClientRequest = request;
        mBody = body;
        mRoute = route;
        mHead = head;
        mNeeds = needs;
        mResponse = new ClientResponse(context, request);
        mLog = new RequestLog(context.node().log(), needs.arrivalNanos());
    }

    static DispatchRequest createNeeds(
            RequestContext context, Route route, RequestHead head, double draw, long now) {
        long millis = Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(Long.MAX_VALUE));
        AdapterKey adapter = head.adapter();
        return new DispatchRequest(
                head.attemptId(),
                route.pickService(draw),
                adapter,
                context.catalog().adapterVersion(adapter),
                head.promptTokens(),
                head.expectedOutputTokens(),
                head.promptParts(),
                route.rank(),
                now,
                now + Duration.ofMillis(route.objectiveMillis()).toNanos(),
                now + Duration.ofMillis(millis).toNanos(),
                false);
    }

    DispatchRequest needs() {
        return mNeeds;
    }

    HttpServerRequest clientRequest() {
        return mClientRequest;
    }

    Buffer body() {
        return mBody;
    }

    Route route() {
        return mRoute;
    }

    ClientResponse response() {
        return mResponse;
    }

    SseEventSplitter eventSplitter() {
        return mEventSplitter;
    }

    boolean isDone() {
        return mDone;
    }

    /** Returns how long an answer is still of use, in milliseconds. */
    long remainingMillis() {
        return Math.max(1, Duration.ofNanos(mNeeds.deadlineNanos() - mContext.now()).toMillis());
    }

    void start() {
        mContext.onRequestStarted();
        mContext.countRequest(mNeeds.service());
        mContext.dispatcher().onArrival(mNeeds, mContext.now());
        mClientRequest.response().closeHandler(v -> onClientDisconnected());
        mClientRequest.response().exceptionHandler(e -> onClientDisconnected());
        mDeadlineTimer = setTimer(remainingMillis(), this::onDeadline);
        placeOrWait();
    }

    private long setTimer(long millis, Runnable action) {
        return mContext.node().vertx().setTimer(Math.max(1, millis), t -> action.run());
    }

    private void placeOrWait() {
        if (mDone || tryPlace()) {
            return;
        }
        long now = mContext.now();
        if (QueueTimeout.isExpired(mNeeds, now)) {
            giveUp();
            return;
        }
        mContext.waitQueue().add(this);
        if (mWaitTimer < 0) {
            mWaitTimer = setTimer(QueueTimeout.remainingMillis(mNeeds, now), this::onWaitTimeout);
        }
        mLog.logWaiting(mNeeds, mWaitReason, mLoadingEngine, now);
    }

    /** Sends the request if an engine can take it now. */
    boolean tryPlace() {
        if (mDone) {
            return true;
        }
        long now = mContext.now();
        Placement placement = mContext.dispatcher().place(mNeeds, mExcludedEngines, now);
        if (placement instanceof Placement.Send s) {
            s.loadTarget().ifPresent(e -> requestAdapter(mNeeds, e));
            return mContext.catalog().engine(s.engine()).map(e -> sendTo(e, now)).orElse(false);
        }
        Placement.Wait w = (Placement.Wait) placement;
        mWaitReason = w.reason().name();
        mLoadingEngine = w.loadTarget().orElse("");
        w.loadTarget().ifPresent(e -> requestAdapter(mNeeds, e));
        return false;
    }

    private void requestAdapter(DispatchRequest needs, String engine) {
        AdapterDemand want =
                new AdapterDemand(
                        needs.adapter(),
                        needs.minVersion(),
                        needs.rank(),
                        QueueTimeout.expiryNanos(needs));
        mContext.orders().requestAdapter(engine, want);
    }

    private boolean sendTo(Engine engine, long now) {
        mContext.dispatcher().onSent(engine.id(), mNeeds, now);
        mWaitReason = "";
        publishWork(engine);
        Attempt attempt = new Attempt(mContext, this, engine);
        mAttempt = Optional.of(attempt);
        mLog.logSent(mRoute, mNeeds, engine.id(), mRuns, now);
        attempt.start();
        return true;
    }

    /** Takes that the engine began to answer. */
    void onResponseStarted(Engine engine) {
        mContext.dispatcher().onFirstEvent(engine.id(), mNeeds, mContext.now());
        publishWork(engine);
        mContext.dispatchWaiting();
    }

    /** Takes that an attempt's bytes are on their way. */
    void onSent() {
        mRuns++;
    }

    /** Takes how long an engine had sent nothing when its stream ended. */
    void recordSilence(Duration time) {
        mLog.recordSilence(time);
    }

    /** Takes that an attempt certainly did not run. */
    void onNotRun(Engine engine, String cause, boolean arrived) {
        onAttemptEnded(engine, cause);
        mRuns -= arrived ? 1 : 0;
        mExcludedEngines.add(engine.id());
        boolean again = hasTimeToRetry() && (!arrived || mContext.tryRetry(mNeeds.service()));
        if (again) {
            placeOrWait();
        } else {
            giveUp();
        }
    }

    /** Takes that an attempt may have run and its answer is lost. */
    void onResponseLost(Engine engine, String cause) {
        onAttemptEnded(engine, cause);
        mMayHaveRun = true;
        boolean goesOn = !mResponse.hasStarted() || mRoute.resumable();
        if (goesOn && tryTakeRetry()) {
            mExcludedEngines.add(engine.id());
            mEventSplitter.dropPartialEvent();
            onStreamInterrupted();
            placeOrWait();
        } else {
            fail(GatewayError.ANSWER_LOST);
        }
    }

    /** A stream that has begun asks for an engine anew; its first wait is long over. */
    private void onStreamInterrupted() {
        if (mResponse.hasStarted()) {
            mContext.node().vertx().cancelTimer(mWaitTimer);
            mWaitTimer = -1;
            mNeeds = mNeeds.resumedAt(mContext.now());
        }
    }

    /** Takes one repeat of a run if the route, the budget and the time allow it. */
    boolean tryTakeRetry() {
        return mayRetry() && mContext.tryRetry(mNeeds.service());
    }

    private boolean mayRetry() {
        return mRoute.isRetryable() && mRuns < mRoute.maxAttempts() && hasTimeToRetry();
    }

    /** Takes that the engine failed the request and that another one is to run it. */
    void retryElsewhere(Engine engine, String cause) {
        onAttemptEnded(engine, cause);
        mMayHaveRun = true;
        mExcludedEngines.add(engine.id());
        mEventSplitter.dropPartialEvent();
        onStreamInterrupted();
        placeOrWait();
    }

    /**
     * Tells whether the request is to leave an engine that has fallen silent: only for one that can
     * take it now, as the silent one may still answer.
     */
    boolean tryLeaveSilentEngine(Engine engine) {
        if (!mayRetry()) {
            return false;
        }
        Set<String> avoided = new HashSet<>(mExcludedEngines);
        avoided.add(engine.id());
        long now = mContext.now();
        DispatchRequest needs = mResponse.hasStarted() ? mNeeds.resumedAt(now) : mNeeds;
        Placement placement = mContext.dispatcher().place(needs, avoided, now);
        if (placement instanceof Placement.Send s && !s.engine().equals(engine.id())) {
            return mContext.tryRetry(mNeeds.service());
        }
        if (placement instanceof Placement.Wait w) {
            w.loadTarget().ifPresent(e -> requestAdapter(needs, e));
        }
        return false;
    }

    private boolean hasTimeToRetry() {
        return mNeeds.deadlineNanos() - mContext.now() > MIN_RETRY_NANOS;
    }

    /** Takes that the engine's answer was delivered. */
    void onDelivered(Engine engine, int status) {
        onAttemptEnded(engine, "status " + status);
        finish("status_" + status, engine.id());
    }

    private void publishWork(Engine engine) {
        if (mNeeds.needsModelEngine()) {
            mContext.orders().onWorkChanged(engine.id());
        }
    }

    private void onAttemptEnded(Engine engine, String how) {
        mAttempt = Optional.empty();
        mContext.dispatcher().onEnded(engine.id(), mNeeds);
        publishWork(engine);
        mContext.node().metrics().countAttempt(mNeeds.service(), how.split(" ")[0]);
        if (!how.startsWith("status 2")) {
            mLog.logAttemptFailed(mNeeds, engine.id(), how, mRuns);
        }
        mContext.dispatchWaiting();
    }

    private void giveUp() {
        fail(mMayHaveRun ? GatewayError.ANSWER_LOST : GatewayError.NOT_RUN);
    }

    private void onWaitTimeout() {
        if (!mDone && mAttempt.isEmpty()) {
            giveUp();
        }
    }

    private void onDeadline() {
        if (mDone) {
            return;
        }
        boolean may = mMayHaveRun || mAttempt.isPresent();
        mAttempt.ifPresent(Attempt::cancel);
        fail(may ? GatewayError.TIMED_OUT : GatewayError.NOT_RUN);
    }

    /** Gives the final answer; a stream that has begun can only be broken off. */
    private void fail(GatewayError outcome) {
        if (mDone) {
            return;
        }
        if (mResponse.hasStarted()) {
            mResponse.abort();
            finish("aborted", outcome.code() + (mWaitReason.isEmpty() ? "" : " " + mWaitReason));
            return;
        }
        double seconds = QueueTimeout.retryAfterSeconds(mNeeds, mContext.now());
        mResponse.sendError(outcome, mHead.attemptId(), seconds);
        finish(outcome.code(), mWaitReason);
    }

    private void onClientDisconnected() {
        if (!mDone) {
            mAttempt.ifPresent(Attempt::cancel);
            finish("caller_left", mAttempt.map(a -> a.engine().id()).orElse(mWaitReason));
        }
    }

    private void finish(String outcome, String detail) {
        mDone = true;
        mAttempt.ifPresent(
                a -> {
                    mContext.dispatcher().onEnded(a.engine().id(), mNeeds);
                    publishWork(a.engine());
                });
        mAttempt = Optional.empty();
        mContext.waitQueue().remove(this);
        mContext.onRequestEnded();
        mContext.node().vertx().cancelTimer(mDeadlineTimer);
        mContext.node().vertx().cancelTimer(mWaitTimer);
        mContext.node().metrics().countRequest(mNeeds.service(), outcome);
        mLog.logEnded(mRoute, mNeeds, outcome, detail, mResponse, mContext.now());
        mContext.dispatchWaiting();
    }
}
