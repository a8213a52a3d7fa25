package org.fescuehollow.membership;

import java.time.Duration;

/**
 * Intervals and timeouts of the membership protocol.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param probeIntervalNanos time between two probe rounds, and the time after which a probe has
 *     failed
 * @param ackTimeoutNanos time without an acknowledgement after which a probe is sent through other
 *     nodes
 * @param suspicionTimeoutNanos time after which a suspected node is declared dead
 * @param pauseThresholdNanos a longer gap between two rounds means that this process was paused
 */
public record MembershipTiming(
        long probeIntervalNanos,
        long ackTimeoutNanos,
        long suspicionTimeoutNanos,
        long pauseThresholdNanos) {
    /** One round per second; a node that fails is declared dead within about five seconds. */
    public static final MembershipTiming DEFAULT = ofProbeIntervalMillis(1_000);

    /**
     * Derives all timeouts from the probe interval.
     *
     * @param millis the probe interval in milliseconds
     * @return the intervals and timeouts
     */
    public static MembershipTiming ofProbeIntervalMillis(long millis) {
        long intervalNanos = Duration.ofMillis(millis).toNanos();
        return new MembershipTiming(
                intervalNanos, intervalNanos * 3 / 10, intervalNanos * 3, intervalNanos * 3);
    }
}
