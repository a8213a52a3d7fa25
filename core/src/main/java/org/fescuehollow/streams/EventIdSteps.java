package org.fescuehollow.streams;

/**
 * Evidence from all streams of a service for whether their ids count events, from 0 or 1 by one, or
 * something else, such as tokens. Only ids that count events show that one is missing.
 *
 * <p>Invariant: the evidence is bounded, so that a service whose ids change their meaning is not
 * judged by the old one for long. Not thread-safe; used on the node's event loop.
 */
public final class EventIdSteps {
    /** Steps of one for each other step, from which on ids count events. */
    private static final int MIN_RATIO = 32;

    private static final int MAX_EVIDENCE = 512;

    private int mSingle;
    private int mOther;

    /** Creates a service's evidence, which shows nothing yet. */
    public EventIdSteps() {}

    /** Adds a step from one id to the next, or to the first one. */
    void add(boolean single) {
        if (single) {
            mSingle++;
        } else {
            mOther++;
        }
        if (mSingle + mOther > MAX_EVIDENCE) {
            mSingle /= 2;
            mOther /= 2;
        }
    }

    /** Returns whether the ids have shown that they count events. */
    boolean countEvents() {
        return mSingle >= MIN_RATIO * (mOther + 1);
    }
}
