package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Notices engines that have fallen silent under the streams that they write.
 *
 * <p>Load pattern: an engine loses power or is cut off, and its connections stay open without a
 * word. It writes for all its requests in turn, so one that sends nothing at all for some of the
 * pauses that are allowed within a stream is not merely slow; a stream that waits while others go
 * on is only held back.
 *
 * <p>Invariant: time counts only while this is told of it in short steps, so a pause of this
 * process is no silence of an engine. Not safe for concurrent use.
 */
public final class EngineInactivityDetector {
    /** Pauses without a word after which a stream that has begun is silent. */
    private static final int MAX_IDLE_PAUSES = 3;

    /** Latency objectives without a word after which one that has not begun is silent. */
    private static final int MAX_IDLE_OBJECTIVES = 2;

    private final Duration mMaxStep;
    private final Map<String, EngineActivity> mEngines = new HashMap<>();
    private final List<Stream> mStreams = new ArrayList<>();
    private long mLastPollNanos;

    /** How long something has been quiet. */
    private static final class EngineActivity {
        private long mIdleNanos;
        private int mStreamCount;
    }

    /** A stream that an engine writes, or is to write. */
    public final class Stream {
        private final String mEngine;
        private final long mMaxPauseNanos;
        private final long mObjectiveNanos;
        private long mIdleNanos;
        private boolean mStarted;

        private Stream(String engine, Duration pause, Duration objective) {
            mEngine = engine;
            mMaxPauseNanos = pause.toNanos();
            mObjectiveNanos = objective.toNanos();
        }

        /** Takes that something came; only before the stream's end. */
        public void onEvent() {
            mStarted = true;
            mIdleNanos = 0;
            mEngines.get(mEngine).mIdleNanos = 0;
        }

        /** Takes that the stream ended; it may be told more than once. */
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
         * Returns how long nothing has come, as far as steps were told.
         *
         * @return the time since something came, or since the request was sent
         */
        public Duration idleTime() {
            return Duration.ofNanos(mIdleNanos);
        }

        private boolean isInactive() {
            long own =
                    mStarted
                            ? mMaxPauseNanos * MAX_IDLE_PAUSES
                            : mObjectiveNanos * MAX_IDLE_OBJECTIVES;
            long engine = mEngines.get(mEngine).mIdleNanos;
            return mIdleNanos >= own && engine >= mMaxPauseNanos * MAX_IDLE_PAUSES;
        }
    }

    /**
     * Creates a watch without streams.
     *
     * @param step about the time between two calls of {@link #pollInactive}
     * @param now the monotonic time in nanoseconds
     */
    public EngineInactivityDetector(Duration step, long now) {
        mMaxStep = step.multipliedBy(2);
        mLastPollNanos = now;
    }

    /**
     * Takes that a request for a stream was sent.
     *
     * @param engine the engine's id
     * @param pause the longest pause between events that is still on time
     * @param objective the time within which the first event is due
     * @return the stream, to be told of what comes and of its end
     */
    public Stream openStream(String engine, Duration pause, Duration objective) {
        Stream stream = new Stream(engine, pause, objective);
        mStreams.add(stream);
        mEngines.computeIfAbsent(engine, e -> new EngineActivity()).mStreamCount++;
        return stream;
    }

    /**
     * Takes that time has passed.
     *
     * @param now the monotonic time in nanoseconds
     * @return the streams whose engines have fallen silent
     */
    public List<Stream> pollInactive(long now) {
        long step = Math.min(now - mLastPollNanos, mMaxStep.toNanos());
        mLastPollNanos = now;
        mEngines.values().forEach(e -> e.mIdleNanos += step);
        mStreams.forEach(s -> s.mIdleNanos += step);
        return mStreams.stream().filter(Stream::isInactive).toList();
    }
}
