package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects engines that have stopped sending events on their open streams.
 *
 * <p>Load pattern: an engine loses power or is cut off, and its connections stay open without data.
 * An engine generates for all its requests in turn, so an engine that sends nothing on any stream
 * for several times the allowed pause has failed and is not just slow. A stream without events
 * while others of the engine proceed is only delayed.
 *
 * <p>Invariant: idle time grows by at most a limited step per poll, so a pause of this process
 * doesn't count as inactivity of an engine. Not safe for concurrent use.
 */
public final class EngineInactivityDetector {
    /** A started stream is inactive after this many allowed pauses without an event. */
    private static final int MAX_IDLE_PAUSES = 3;

    /** A stream that has not started is inactive after this many latency objectives. */
    private static final int MAX_IDLE_OBJECTIVES = 2;

    private final Duration mMaxStep;
    private final Map<String, EngineActivity> mEngines = new HashMap<>();
    private final List<Stream> mStreams = new ArrayList<>();
    private long mLastPollNanos;

    /** An engine's idle time and its number of open streams. */
    private static final class EngineActivity {
        private long mIdleNanos;
        private int mStreamCount;
    }

    /** A stream that an engine sends, or is expected to send. */
    public final class Stream {
        private final String mEngine;
        private final long mMaxPauseNanos;
        private final long mObjectiveNanos;
        private long mIdleNanos;
        private boolean mStarted;

        private Stream(String engine, Duration maxPause, Duration objective) {
            mEngine = engine;
            mMaxPauseNanos = maxPause.toNanos();
            mObjectiveNanos = objective.toNanos();
        }

        /** Records an event on the stream; must not be called after {@link #close}. */
        public void onEvent() {
            mStarted = true;
            mIdleNanos = 0;
            mEngines.get(mEngine).mIdleNanos = 0;
        }

        /** Records the end of the stream; further calls have no effect. */
        public void close() {
            if (mStreams.remove(this)) {
                EngineActivity engine = mEngines.get(mEngine);
                engine.mStreamCount--;
                if (engine.mStreamCount == 0) {
                    mEngines.remove(mEngine);
                }
            }
        }

        /**
         * Returns the time without an event, as counted by the polls.
         *
         * @return the time since the last event, or since the request was sent
         */
        public Duration idleTime() {
            return Duration.ofNanos(mIdleNanos);
        }

        private boolean isInactive() {
            long idleLimit =
                    mStarted
                            ? mMaxPauseNanos * MAX_IDLE_PAUSES
                            : mObjectiveNanos * MAX_IDLE_OBJECTIVES;
            long engineIdle = mEngines.get(mEngine).mIdleNanos;
            return mIdleNanos >= idleLimit && engineIdle >= mMaxPauseNanos * MAX_IDLE_PAUSES;
        }
    }

    /**
     * Creates a detector without streams.
     *
     * @param step approximate time between two calls of {@link #pollInactive}
     * @param now the monotonic time in nanoseconds
     */
    public EngineInactivityDetector(Duration step, long now) {
        mMaxStep = step.multipliedBy(2);
        mLastPollNanos = now;
    }

    /**
     * Registers a stream whose request was sent.
     *
     * @param engine the engine's id
     * @param maxPause the longest allowed pause between events
     * @param objective the latency objective for the first event
     * @return the stream; the caller reports its events and its end
     */
    public Stream openStream(String engine, Duration maxPause, Duration objective) {
        Stream stream = new Stream(engine, maxPause, objective);
        mStreams.add(stream);
        mEngines.computeIfAbsent(engine, e -> new EngineActivity()).mStreamCount++;
        return stream;
    }

    /**
     * Adds the time since the last poll to the idle times.
     *
     * @param now the monotonic time in nanoseconds
     * @return the inactive streams of engines that have stopped sending events
     */
    public List<Stream> pollInactive(long now) {
        long step = Math.min(now - mLastPollNanos, mMaxStep.toNanos());
        mLastPollNanos = now;
        mEngines.values().forEach(e -> e.mIdleNanos += step);
        mStreams.forEach(s -> s.mIdleNanos += step);
        return mStreams.stream().filter(Stream::isInactive).toList();
    }
}
