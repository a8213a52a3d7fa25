package org.fescuehollow.membership;

import java.time.Duration;

/**
 * The times of the membership protocol.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param probeIntervalNanos time between two rounds of probes
 * @param ackTimeoutNanos time after which a probe goes through other nodes
 * @param suspicionTimeoutNanos time in which a suspect may prove that it lives
 * @param pauseThresholdNanos a gap between two rounds above which this node was paused
 */
public record MembershipTiming(
        long probeIntervalNanos,
        long ackTimeoutNanos,
        long suspicionTimeoutNanos,
        long pauseThresholdNanos) {
    /** A round each second; a lost node is declared dead within about five seconds. */
    public static final MembershipTiming DEFAULT = ofProbeIntervalMillis(1_000);

    /**
     * Derives all times from the period.
     *
     * @param millis the period in milliseconds
     * @return the times
     */
    public static MembershipTiming ofProbeIntervalMillis(long millis) {
        long period = Duration.ofMillis(millis).toNanos();
        return new MembershipTiming(period, period * 3 / 10, period * 3, period * 3);
    }
}
