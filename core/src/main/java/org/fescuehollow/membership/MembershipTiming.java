package org.fescuehollow.membership;

import java.time.Duration;

/**
 * The times of the membership protocol.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param periodNanos time between two rounds of probes
 * @param ackNanos time after which a probe goes through other nodes
 * @param suspicionNanos time in which a suspect may prove that it lives
 * @param pauseNanos a gap between two rounds above which this node was paused
 */
public record MembershipTiming(
        long periodNanos, long ackNanos, long suspicionNanos, long pauseNanos) {
    /** A round each second; a lost node is declared dead within about five seconds. */
    public static final MembershipTiming DEFAULT = ofPeriodMillis(1_000);

    /**
     * Derives all times from the period.
     *
     * @param millis the period in milliseconds
     * @return the times
     */
    public static MembershipTiming ofPeriodMillis(long millis) {
        long period = Duration.ofMillis(millis).toNanos();
        return new MembershipTiming(period, period * 3 / 10, period * 3, period * 3);
    }
}
