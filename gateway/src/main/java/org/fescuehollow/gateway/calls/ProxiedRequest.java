package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.Placement;
import org.fescuehollow.dispatch.QueueTimeout;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.streams.EventStreamReader;

/**
 * One client request, from its arrival to the end of its response.
 *
 * <p>Invariants: the request ends exactly once; a request that may run only once is sent again only
 * if the previous attempt certainly did not run; the error "not run" is sent only if no attempt may
 * have run. Not thread-safe; used on the node's event loop.
 */
final class ProxiedRequest {
    private final RequestContext mContext;
    private final HttpServerRequest mClientRequest;
    private final Buffer mBody;
    private final Route mRoute;
    private final RequestHead mHead;
    private final RequestLog mLog;
    private final RequestGuard mGuard;
    private final RequestTimers mTimers;
    private final RequestTraits mTraits;
    private final StreamVersion mVersion;
    private DispatchRequest mDispatchRequest;
    private final ClientResponse mResponse;
    private final EventStreamReader mEvents;
    private final Retries mRetries;
    private Optional<Attempt> mAttempt = Optional.empty();
    private boolean mMayHaveRun;
    private boolean mDone;
    private String mWaitReason = "";
    private String mLoadingEngine = "";

    ProxiedRequest(
            RequestContext context,
            HttpServerRequest request,
            Buffer body,
            Route route,
            RequestHead head,
            DispatchRequest dispatchRequest) {
        mContext = context;
        mClientRequest = request;
        mBody = body;
        mRoute = route;
        mRetries = new Retries(context, route);
        mHead = head;
        mDispatchRequest = dispatchRequest;
        mResponse = new ClientResponse(context, request);
        mLog = new RequestLog(context.node().log(), dispatchRequest.arrivalNanos());
        mEvents = context.newEventReader(route, head, dispatchRequest.service());
        mTraits = new RequestTraits(context.crashGuard(), request, dispatchRequest, body);
        mVersion = new StreamVersion(context.streamVersions(), route, head);
        mGuard = new RequestGuard(context.node(), dispatchRequest.id(), e -> endNow("EXCEPTION"));
        mTimers = new RequestTimers(context.node().vertx(), mGuard);
    }

    DispatchRequest dispatchRequest() {
        return mDispatchRequest;
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

    EventStreamReader events() {
        return mEvents;
    }

    StreamVersion version() {
        return mVersion;
    }

    RequestTraits traits() {
        return mTraits;
    }

    /** Returns the guard that all callbacks of the request and its attempts run under. */
    RequestGuard guard() {
        return mGuard;
    }

    /** Returns the time until the deadline, at least 1 millisecond. */
    long remainingMillis() {
        return Math.max(
                1, Duration.ofNanos(mDispatchRequest.deadlineNanos() - mContext.now()).toMillis());
    }

    void start() {
        mContext.onRequestStarted(this);
        mGuard.run(this::startGuarded);
    }

    private void startGuarded() {
        mClientRequest.response().closeHandler(mGuard.handler(v -> onClientDisconnected()));
        mClientRequest.response().exceptionHandler(mGuard.handler(e -> onClientDisconnected()));
        mTimers.startDeadline(remainingMillis(), this::onDeadline);
        mContext.countRequest(mDispatchRequest.service());
        mLog.logTakeUp(mRoute, mHead);
        mContext.dispatcher().onArrival(mDispatchRequest, mContext.now());
        mVersion.settle(mDispatchRequest).onComplete(mGuard.handler(v -> onVersionSettled()));
    }

    private void onVersionSettled() {
        if (mVersion.isUnknown()) {
            refuse(GatewayError.VERSION_UNKNOWN);
        } else {
            placeOrWait();
        }
    }

    /** Ends a stream that must not go on at any engine. */
    private void refuse(GatewayError error) {
        if (!mDone) {
            mVersion.logRefusal(mDispatchRequest, error);
            fail(mMayHaveRun ? GatewayError.ANSWER_LOST : error);
        }
    }

    private void placeOrWait() {
        if (mDone || place()) {
            return;
        }
        long now = mContext.now();
        if (QueueTimeout.isExpired(mDispatchRequest, now)) {
            giveUp();
            return;
        }
        mContext.waitQueue().add(this);
        mTimers.startWait(QueueTimeout.remainingMillis(mDispatchRequest, now), this::onWaitTimeout);
        mLog.logWaiting(mDispatchRequest, mWaitReason, mLoadingEngine, now);
    }

    /** Sends the request if an engine can take it now; returns whether it was sent or has ended. */
    boolean place() {
        if (mDone || mAttempt.isPresent()) {
            return true;
        }
        if (mTraits.isBlocked()) {
            fail(mMayHaveRun ? GatewayError.ANSWER_LOST : GatewayError.CRASHES_ENGINES);
            return true;
        }
        if (!mRetries.maySend(mDispatchRequest)) {
            mWaitReason = "STOPPING";
            giveUp();
            return true;
        }
        long now = mContext.now();
        Placement placement =
                mVersion.place(mContext.dispatcher(), mDispatchRequest, mRetries.avoided(), now);
        placement.loadTarget().ifPresent(e -> mContext.requestAdapter(mDispatchRequest, e));
        if (placement instanceof Placement.Send send) {
            return mContext.catalog().engine(send.engine()).map(e -> sendTo(e, now)).orElse(false);
        }
        Placement.Wait wait = (Placement.Wait) placement;
        mWaitReason = wait.reason().name();
        if (wait.reason() == Placement.Reason.NO_SERVER_OF_VERSION && mVersion.isFixed()) {
            refuse(GatewayError.VERSION_GONE);
            return true;
        }
        mLoadingEngine = wait.loadTarget().orElse("");
        return false;
    }

    /** Abandons the request if it waits at an engine that it would crash. */
    void abandonIfBlocked() {
        Optional<Attempt> attempt = mAttempt.filter(a -> !a.isAnswered());
        if (attempt.isPresent() && mTraits.isBlocked()) {
            attempt.get().cancel();
            onAttemptEnded(attempt.get().engine(), "abandoned");
            mMayHaveRun = true;
            fail(GatewayError.ANSWER_LOST);
        }
    }

    private boolean sendTo(Engine engine, long now) {
        mWaitReason = "";
        Attempt attempt = new Attempt(mContext, this, engine);
        mAttempt = Optional.of(attempt);
        mContext.onSentToEngine(this, engine, now);
        mLog.logSent(mRoute, mDispatchRequest, engine, mRetries.runs(), now);
        attempt.start();
        return true;
    }

    /** Handles the start of the response of an engine. */
    void onResponseStarted(Engine engine) {
        mContext.dispatcher().onFirstEvent(engine.id(), mDispatchRequest, mContext.now());
        mContext.publishWork(mDispatchRequest, engine);
        mContext.dispatchWaiting();
    }

    /** Returns the runs of the request. */
    Retries retries() {
        return mRetries;
    }

    /** Records how long an engine had sent nothing when its stream ended. */
    void recordSilence(Duration time) {
        mLog.recordSilence(time);
    }

    /** Handles the end of an attempt that certainly did not run. */
    void onNotRun(Engine engine, String cause, boolean reachedEngine) {
        onAttemptEnded(engine, cause);
        if (reachedEngine) {
            mRetries.onNotRun();
        }
        mRetries.avoid(engine);
        boolean mayRetry =
                QueueTimeout.hasTimeToRetry(mDispatchRequest, mContext.now())
                        && (!reachedEngine || mContext.tryRetry(mDispatchRequest.service()));
        if (mayRetry) {
            placeOrWait();
        } else {
            giveUp();
        }
    }

    /** Handles the end of an attempt that may have run and whose response is lost. */
    void onResponseLost(Engine engine, String cause) {
        leaveEngine(engine, cause);
        if (tryTakeRetry()) {
            placeOrWait();
        } else {
            mWaitReason = "NO_RETRY";
            fail(GatewayError.ANSWER_LOST);
        }
    }

    /**
     * Takes a retry from the budget if the route, the remaining time and a planned stop allow one;
     * returns whether the request may be retried.
     */
    boolean tryTakeRetry() {
        return mayRetry() && mContext.tryRetry(mDispatchRequest.service());
    }

    private DispatchRequest nextRequest() {
        return mResponse.hasStarted()
                ? mDispatchRequest.resumedAt(mContext.now())
                : mDispatchRequest;
    }

    private boolean mayRetry() {
        return mResponse.acceptsEvents() && mRetries.mayRetry(nextRequest());
    }

    /** Ends an attempt that failed at an engine and retries the request at another one. */
    void retryElsewhere(Engine engine, String cause) {
        leaveEngine(engine, cause);
        placeOrWait();
    }

    private void leaveEngine(Engine engine, String cause) {
        onAttemptEnded(engine, cause);
        mMayHaveRun = true;
        mRetries.avoid(engine);
        if (mResponse.hasStarted()) {
            // The time limit of the first wait may have passed.
            mTimers.cancelWait();
        }
        mDispatchRequest = nextRequest();
    }

    /**
     * Moves the request from a silent engine to another one, with a retry from the budget. It stays
     * if no other one can take it now, as the silent one may still respond.
     *
     * @param attemptCloser ends the attempt at the silent engine
     */
    void tryLeaveSilentEngine(Engine engine, Runnable attemptCloser) {
        long now = mContext.now();
        DispatchRequest next = nextRequest();
        // Also for one that left another silent engine before: this one may respond sooner.
        if (!mayRetry() || !mContext.maySend(next, mRoute) || mTraits.isBlocked()) {
            return;
        }
        Placement placement =
                mVersion.place(mContext.dispatcher(), next, mRetries.avoidedAnd(engine), now);
        placement.loadTarget().ifPresent(e -> mContext.requestAdapter(next, e));
        Optional<Engine> target =
                placement
                        .engineToSend()
                        .filter(e -> !e.equals(engine.id()))
                        .flatMap(mContext.catalog()::engine);
        if (target.isPresent() && mContext.tryRetry(mDispatchRequest.service())) {
            attemptCloser.run();
            mRetries.onLeftSilentEngine();
            leaveEngine(engine, "silent");
            sendTo(target.get(), now);
        }
    }

    /** Handles the complete delivery of an engine's response. */
    void onDelivered(Engine engine, int status) {
        onAttemptEnded(engine, "status " + status);
        finish("status_" + status, engine.id());
    }

    private void onAttemptEnded(Engine engine, String result) {
        boolean answered = mAttempt.map(Attempt::isAnswered).orElse(false);
        mAttempt = Optional.empty();
        mContext.onLeftEngine(this, engine);
        mContext.node().metrics().countAttempt(mDispatchRequest.service(), result.split(" ")[0]);
        if (!result.startsWith("status 2")) {
            mLog.logAttemptFailed(mDispatchRequest, engine.id(), result, mRetries.runs(), answered);
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
        boolean mayRun = mMayHaveRun || mAttempt.isPresent();
        mAttempt.ifPresent(Attempt::cancel);
        fail(mayRun ? GatewayError.TIMED_OUT : GatewayError.NOT_RUN);
    }

    /** Ends the request with an error; a response that was already started can only be aborted. */
    private void fail(GatewayError error) {
        if (mDone) {
            return;
        }
        if (mResponse.hasStarted()) {
            mResponse.abort();
            finish("aborted", error.code() + (mWaitReason.isEmpty() ? "" : " " + mWaitReason));
            return;
        }
        mResponse.sendError(error, mHead.attemptId(), mContext.retryAfterSeconds(mDispatchRequest));
        finish(error.code(), mWaitReason);
    }

    private void onClientDisconnected() {
        if (!mDone) {
            mAttempt.ifPresent(Attempt::cancel);
            finish("caller_left", mAttempt.map(a -> a.engine().id()).orElse(mWaitReason));
        }
    }

    /** Ends the request at once, with an error that tells whether it may have run. */
    void endNow(String reason) {
        if (mDone) {
            return;
        }
        mWaitReason = reason;
        mMayHaveRun |= mRetries.runs() > 0;
        mGuard.run(() -> mAttempt.ifPresent(Attempt::cancel));
        mGuard.run(this::giveUp);
        if (!mDone) {
            mResponse.abort();
            finish("aborted", "exception");
        }
    }

    private void finish(String outcome, String detail) {
        mDone = true;
        mContext.onRequestEnded(this);
        mTimers.cancelAll();
        mAttempt.ifPresent(a -> mContext.onLeftEngine(this, a.engine()));
        mAttempt = Optional.empty();
        mContext.node().metrics().countRequest(mDispatchRequest.service(), outcome);
        mLog.logEnded(mRoute, mDispatchRequest, outcome, detail, mResponse, mContext.now());
        mContext.dispatchWaiting();
    }
}
