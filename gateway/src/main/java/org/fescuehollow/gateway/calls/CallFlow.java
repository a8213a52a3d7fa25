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
final class CallFlow {
    /** A repeat with less time left than this can't be answered in time. */
    private static final long LEAST_REPEAT_NANOS = Duration.ofMillis(60).toNanos();

    private final CallContext mContext;
    private final HttpServerRequest mRequest;
    private final Buffer mBody;
    private final Route mRoute;
    private final RequestHead mHead;
    private final CallLog mLog;
    private DispatchRequest mNeeds;
    private final CallAnswer mAnswer;
    private final EventSplitter mEvents = new EventSplitter();
    private final Set<String> mAvoided = new HashSet<>();
    private Optional<Attempt> mAttempt = Optional.empty();
    private boolean mMayHaveRun;
    private boolean mDone;
    private int mRuns;
    private String mWaitReason = "";
    private String mAskedEngine = "";
    private long mDeadlineTimer = -1;
    private long mWaitTimer = -1;

    CallFlow(
            CallContext context,
            HttpServerRequest request,
            Buffer body,
            Route route,
            RequestHead head,
            DispatchRequest needs) {
        mContext = context;
        mRequest = request;
        mBody = body;
        mRoute = route;
        mHead = head;
        mNeeds = needs;
        mAnswer = new CallAnswer(context, request);
        mLog = new CallLog(context.node().log(), needs.arrivalNanos());
    }

    static DispatchRequest needs(
            CallContext context, Route route, RequestHead head, double draw, long now) {
        long millis = Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(Long.MAX_VALUE));
        AdapterKey adapter = head.adapter();
        return new DispatchRequest(
                head.attemptId(),
                route.pickService(draw),
                adapter,
                context.catalog().version(adapter),
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

    HttpServerRequest request() {
        return mRequest;
    }

    Buffer body() {
        return mBody;
    }

    Route route() {
        return mRoute;
    }

    CallAnswer answer() {
        return mAnswer;
    }

    EventSplitter events() {
        return mEvents;
    }

    boolean isDone() {
        return mDone;
    }

    /** Returns how long an answer is still of use, in milliseconds. */
    long leftMillis() {
        return Math.max(1, Duration.ofNanos(mNeeds.deadlineNanos() - mContext.now()).toMillis());
    }

    void start() {
        mContext.opened();
        mContext.countRequest(mNeeds.service());
        mContext.dispatcher().onArrival(mNeeds, mContext.now());
        mRequest.response().closeHandler(v -> callerLeft());
        mRequest.response().exceptionHandler(e -> callerLeft());
        mDeadlineTimer = timer(leftMillis(), this::timeOver);
        placeOrWait();
    }

    private long timer(long millis, Runnable action) {
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
        mContext.queue().add(this);
        if (mWaitTimer < 0) {
            mWaitTimer = timer(QueueTimeout.remainingMillis(mNeeds, now), this::waitedTooLong);
        }
        mLog.waiting(mNeeds, mWaitReason, mAskedEngine, now);
    }

    /** Sends the request if an engine can take it now. */
    boolean tryPlace() {
        if (mDone) {
            return true;
        }
        long now = mContext.now();
        Placement placement = mContext.dispatcher().place(mNeeds, mAvoided, now);
        if (placement instanceof Placement.Send s) {
            s.loadTarget().ifPresent(e -> want(mNeeds, e));
            return mContext.catalog().engine(s.engine()).map(e -> send(e, now)).orElse(false);
        }
        Placement.Wait w = (Placement.Wait) placement;
        mWaitReason = w.reason().name();
        mAskedEngine = w.loadTarget().orElse("");
        w.loadTarget().ifPresent(e -> want(mNeeds, e));
        return false;
    }

    private void want(DispatchRequest needs, String engine) {
        AdapterDemand want =
                new AdapterDemand(
                        needs.adapter(),
                        needs.minVersion(),
                        needs.rank(),
                        QueueTimeout.expiryNanos(needs));
        mContext.orders().want(engine, want);
    }

    private boolean send(Engine engine, long now) {
        mContext.dispatcher().onSent(engine.id(), mNeeds, now);
        mWaitReason = "";
        workChanged(engine);
        Attempt attempt = new Attempt(mContext, this, engine);
        mAttempt = Optional.of(attempt);
        mLog.sent(mRoute, mNeeds, engine.id(), mRuns, now);
        attempt.start();
        return true;
    }

    /** Takes that the engine began to answer. */
    void answering(Engine engine) {
        mContext.dispatcher().onFirstEvent(engine.id(), mNeeds, mContext.now());
        workChanged(engine);
        mContext.offerWaiting();
    }

    /** Takes that an attempt's bytes are on their way. */
    void running() {
        mRuns++;
    }

    /** Takes how long an engine had sent nothing when its stream ended. */
    void quiet(Duration time) {
        mLog.quiet(time);
    }

    /** Takes that an attempt certainly did not run. */
    void notRun(Engine engine, String cause, boolean arrived) {
        attemptEnded(engine, cause);
        mRuns -= arrived ? 1 : 0;
        mAvoided.add(engine.id());
        boolean again = hasTime() && (!arrived || mContext.tryRepeat(mNeeds.service()));
        if (again) {
            placeOrWait();
        } else {
            giveUp();
        }
    }

    /** Takes that an attempt may have run and its answer is lost. */
    void lost(Engine engine, String cause) {
        attemptEnded(engine, cause);
        mMayHaveRun = true;
        boolean goesOn = !mAnswer.hasBegun() || mRoute.resumable();
        if (goesOn && canRunAgain()) {
            mAvoided.add(engine.id());
            mEvents.dropPartialEvent();
            interrupted();
            placeOrWait();
        } else {
            refuse(Outcome.ANSWER_LOST);
        }
    }

    /** A stream that has begun asks for an engine anew; its first wait is long over. */
    private void interrupted() {
        if (mAnswer.hasBegun()) {
            mContext.node().vertx().cancelTimer(mWaitTimer);
            mWaitTimer = -1;
            mNeeds = mNeeds.resumedAt(mContext.now());
        }
    }

    /** Takes one repeat of a run if the route, the budget and the time allow it. */
    boolean canRunAgain() {
        return mayRunAgain() && mContext.tryRepeat(mNeeds.service());
    }

    private boolean mayRunAgain() {
        return mRoute.isRetryable() && mRuns < mRoute.maxAttempts() && hasTime();
    }

    /** Takes that the engine failed the request and that another one is to run it. */
    void runAgain(Engine engine, String cause) {
        attemptEnded(engine, cause);
        mMayHaveRun = true;
        mAvoided.add(engine.id());
        mEvents.dropPartialEvent();
        interrupted();
        placeOrWait();
    }

    /**
     * Tells whether the request is to leave an engine that has fallen silent: only for one that can
     * take it now, as the silent one may still answer.
     */
    boolean leaveSilent(Engine engine) {
        if (!mayRunAgain()) {
            return false;
        }
        Set<String> avoided = new HashSet<>(mAvoided);
        avoided.add(engine.id());
        long now = mContext.now();
        DispatchRequest needs = mAnswer.hasBegun() ? mNeeds.resumedAt(now) : mNeeds;
        Placement placement = mContext.dispatcher().place(needs, avoided, now);
        if (placement instanceof Placement.Send s && !s.engine().equals(engine.id())) {
            return mContext.tryRepeat(mNeeds.service());
        }
        if (placement instanceof Placement.Wait w) {
            w.loadTarget().ifPresent(e -> want(needs, e));
        }
        return false;
    }

    private boolean hasTime() {
        return mNeeds.deadlineNanos() - mContext.now() > LEAST_REPEAT_NANOS;
    }

    /** Takes that the engine's answer was delivered. */
    void delivered(Engine engine, int status) {
        attemptEnded(engine, "status " + status);
        finish("status_" + status, engine.id());
    }

    private void workChanged(Engine engine) {
        if (mNeeds.needsModelEngine()) {
            mContext.orders().workChanged(engine.id());
        }
    }

    private void attemptEnded(Engine engine, String how) {
        mAttempt = Optional.empty();
        mContext.dispatcher().onEnded(engine.id(), mNeeds);
        workChanged(engine);
        mContext.node().metrics().attempt(mNeeds.service(), how.split(" ")[0]);
        if (!how.startsWith("status 2")) {
            mLog.attemptFailed(mNeeds, engine.id(), how, mRuns);
        }
        mContext.offerWaiting();
    }

    private void giveUp() {
        refuse(mMayHaveRun ? Outcome.ANSWER_LOST : Outcome.NOT_RUN);
    }

    private void waitedTooLong() {
        if (!mDone && mAttempt.isEmpty()) {
            giveUp();
        }
    }

    private void timeOver() {
        if (mDone) {
            return;
        }
        boolean may = mMayHaveRun || mAttempt.isPresent();
        mAttempt.ifPresent(Attempt::cancel);
        refuse(may ? Outcome.TIMED_OUT : Outcome.NOT_RUN);
    }

    /** Gives the final answer; a stream that has begun can only be broken off. */
    private void refuse(Outcome outcome) {
        if (mDone) {
            return;
        }
        if (mAnswer.hasBegun()) {
            mAnswer.abort();
            finish("aborted", outcome.code() + (mWaitReason.isEmpty() ? "" : " " + mWaitReason));
            return;
        }
        double seconds = QueueTimeout.retryAfterSeconds(mNeeds, mContext.now());
        mAnswer.refuse(outcome, mHead.attemptId(), seconds);
        finish(outcome.code(), mWaitReason);
    }

    private void callerLeft() {
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
                    workChanged(a.engine());
                });
        mAttempt = Optional.empty();
        mContext.queue().remove(this);
        mContext.closed();
        mContext.node().vertx().cancelTimer(mDeadlineTimer);
        mContext.node().vertx().cancelTimer(mWaitTimer);
        mContext.node().metrics().request(mNeeds.service(), outcome);
        mLog.ended(mRoute, mNeeds, outcome, detail, mAnswer, mContext.now());
        mContext.offerWaiting();
    }
}
