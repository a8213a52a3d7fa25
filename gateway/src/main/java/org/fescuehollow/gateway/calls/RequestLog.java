package org.fescuehollow.gateway.calls;

import java.time.Duration;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.PromptSegment;
import org.fescuehollow.dispatch.QueueTimeout;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.platform.RequestHead;

/**
 * Logs the events of one request.
 *
 * <p>Invariant: times in the last event are measured from the arrival of the request; those in the
 * other events from the last interruption if its stream was interrupted. Not thread-safe; used on
 * the node's event loop.
 */
final class RequestLog {
    private final EventLog mLog;
    private final long mArrivedNanos;
    private long mSilentMillis = -1;

    RequestLog(EventLog log, long arrivedNanos) {
        mLog = log;
        mArrivedNanos = arrivedNanos;
    }

    /** Records how long an engine had sent nothing when its stream ended. */
    void recordSilence(Duration time) {
        mSilentMillis = time.toMillis();
    }

    /** Logs that a client resumes a stream, if it does. */
    void logTakeUp(Route route, RequestHead head) {
        if (!head.lastEventId().isEmpty()) {
            mLog.event(
                    "take_up",
                    "id",
                    head.attemptId(),
                    "route",
                    route.name(),
                    "after",
                    head.lastEventId(),
                    "resumes",
                    head.resumes());
        }
    }

    void logWaiting(DispatchRequest request, String reason, String loadingEngine, long now) {
        mLog.event(
                "waiting",
                "id",
                request.id(),
                "reason",
                reason,
                "adapter",
                request.adapter(),
                "load_on",
                loadingEngine,
                "most_ms",
                QueueTimeout.remainingMillis(request, now));
    }

    void logSent(Route route, DispatchRequest request, Engine engine, int runs, long now) {
        mLog.event(
                "sent",
                "id",
                request.id(),
                "route",
                route.name(),
                "engine",
                engine.id(),
                "software",
                engine.softwareVersion(),
                "adapter",
                request.adapter(),
                "prompt",
                request.promptTokens(),
                "output",
                request.expectedOutputTokens(),
                "waited_ms",
                Duration.ofNanos(now - request.arrivalNanos()).toMillis(),
                "runs",
                runs);
    }

    void logAttemptFailed(
            DispatchRequest request, String engine, String cause, int runs, boolean answered) {
        mLog.event(
                "attempt_failed",
                "id",
                request.id(),
                "engine",
                engine,
                "cause",
                cause,
                "runs",
                runs,
                "answered",
                answered,
                "parts",
                request.promptSegments().stream()
                        .map(PromptSegment::id)
                        .collect(Collectors.joining(",")));
    }

    void logEnded(
            Route route,
            DispatchRequest request,
            String outcome,
            String detail,
            ClientResponse response,
            long now) {
        mLog.event(
                "ended",
                "id",
                request.id(),
                "route",
                route.name(),
                "outcome",
                outcome,
                "detail",
                detail,
                "quiet_ms",
                mSilentMillis,
                "first_ms",
                response.firstByteMillis(mArrivedNanos),
                "ms",
                Duration.ofNanos(now - mArrivedNanos).toMillis());
    }
}
