package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * The rate of requests that one incarnation of an engine takes from all nodes together, as it names
 * it in its responses, and this node's part of it.
 *
 * <p>Load pattern: an engine in need asks all nodes to send less. They share no counter. The nodes
 * that rank first for the engine share its rate equally, and the others send it nothing. Only so
 * many nodes take part that what all of them have saved up stays below a fixed number of requests
 * and half of the rate over a few seconds.
 *
 * <p>Invariants: within any time t, nodes with the same view of the fleet send at most t times the
 * rate plus {@link #MAX_SAVED} plus {@link #SAVED_SECONDS} times the rate; a node that just learned
 * of a rate has saved nothing. Not safe for concurrent use.
 */
final class SharedRateLimit {
    /** Requests that all nodes together may have saved up, whatever the rate. */
    static final double MAX_SAVED = 3;

    /** Seconds of the rate that all nodes together may have saved up in addition. */
    static final double SAVED_SECONDS = 2;

    /** Lowest rate that is used, as only a response can tell that the engine takes more again. */
    private static final double MIN_PER_SECOND = 0.1;

    /** Responses without a rate lift it only after this time, as they may be older. */
    private static final long HOLD_NANOS = Duration.ofSeconds(2).toNanos();

    private RateWord mHeard = RateWord.NONE;
    private RateWord mWord = RateWord.NONE;
    private double mSaved;
    private long mSavedNanos;

    /**
     * Records whether a response of the engine names a rate.
     *
     * @return true if the limit came into force or was lifted
     */
    boolean onResponse(OptionalDouble perSecond, long now) {
        mHeard =
                perSecond.isPresent()
                        ? mHeard.latest(RateWord.named(perSecond.getAsDouble(), now))
                        : mHeard.cleared(now);
        return merge(mHeard, now);
    }

    /**
     * Records what another node was told.
     *
     * @return true if the limit came into force or was lifted
     */
    boolean merge(RateWord word, long now) {
        boolean before = isInForce();
        mWord = mWord.latest(word);
        if (isInForce() && !before) {
            mSaved = 0;
            mSavedNanos = now;
        }
        return isInForce() != before;
    }

    /** Returns what this node was told by the engine itself, which is all that it passes on. */
    RateWord heard() {
        return mHeard;
    }

    /** Returns what any node was told. */
    RateWord word() {
        return mWord;
    }

    boolean isInForce() {
        return mWord.isNamed() && mWord.clearedNanos() - mWord.namedNanos() < HOLD_NANOS;
    }

    /** Returns whether this node may send a request now. */
    boolean maySend(FleetRank rank, long now) {
        if (!isInForce()) {
            return true;
        }
        int senders = senders(rank);
        if (rank.rank() >= senders) {
            mSaved = 0;
            mSavedNanos = now;
            return false;
        }
        save(senders, now);
        return mSaved >= 1;
    }

    /** Records that this node sends a request. */
    void onSent() {
        mSaved = isInForce() ? mSaved - 1 : 0;
    }

    private int senders(FleetRank rank) {
        return (int) Math.max(1, Math.min(rank.nodes(), maxSaved()));
    }

    private double maxSaved() {
        return MAX_SAVED + SAVED_SECONDS * perSecond();
    }

    private double perSecond() {
        return Math.max(MIN_PER_SECOND, mWord.perSecond());
    }

    private void save(int senders, long now) {
        double gained = (now - mSavedNanos) / 1e9 * perSecond() / senders;
        mSaved = Math.min(mSaved + gained, maxSaved() / senders);
        mSavedNanos = now;
    }
}
