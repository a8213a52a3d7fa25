package org.fescuehollow.gateway.calls;

import java.time.Duration;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.QueueTimeout;
import org.fescuehollow.gateway.log.EventLog;

/**
 * The lines that one request leaves in the log.
 *
 * <p>Invariant: the times of the last line count from the request's arrival, those of the others
 * from the interruption if the request lost its engine. Used on the node's loop.
 */
final class RequestLog {
    private final EventLog mLog;
    private final long mArrivedNanos;
    private long mSilentMillis = -1;

    RequestLog(EventLog log, long arrivedNanos) {
        mLog = log;
        mArrivedNanos = arrivedNanos;
    }

    /** Takes how long an engine had sent nothing when its stream ended. */
    void recordSilence(Duration time) {
        mSilentMillis = time.toMillis();
    }

    void logWaiting(DispatchRequest needs, String reason, String askedEngine, long now) {
        mLog.event(
                "waiting",
                "id",
                needs.id(),
                "reason",
                reason,
                "adapter",
                needs.adapter(),
                "load_on",
                askedEngine,
                "most_ms",
                QueueTimeout.remainingMillis(needs, now));
    }

    void logSent(Route route, DispatchRequest needs, String engine, int runs, long now) {
        mLog.event(
                "sent",
                "id",
                needs.id(),
                "route",
                route.name(),
                "engine",
                engine,
                "adapter",
                needs.adapter(),
                "prompt",
                needs.promptTokens(),
                "output",
                needs.expectedOutputTokens(),
                "waited_ms",
                Duration.ofNanos(now - needs.arrivalNanos()).toMillis(),
                "runs",
                runs);
    }

    void logAttemptFailed(DispatchRequest needs, String engine, String cause, int runs) {
        mLog.event(
                "attempt_failed", "id", needs.id(), "engine", engine, "cause", cause, "runs", runs);
    }

    void logEnded(
            Route route,
            DispatchRequest needs,
            String outcome,
            String detail,
            ClientResponse answer,
            long now) {
        mLog.event(
                "ended",
                "id",
                needs.id(),
                "route",
                route.name(),
                "outcome",
                outcome,
                "detail",
                detail,
                "quiet_ms",
                mSilentMillis,
                "first_ms",
                answer.firstByteMillis(mArrivedNanos),
                "ms",
                Duration.ofNanos(now - mArrivedNanos).toMillis());
    }
}
