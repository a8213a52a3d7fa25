package org.fescuehollow.membership;

/**
 * The state of a node as another node sees it.
 *
 * <p>Within one incarnation, a later constant overrides an earlier one. Immutable and safe for use
 * by any thread.
 */
public enum MemberState {
    /** It responds to probes. */
    ALIVE,
    /** It did not respond in time, and is declared dead unless it is heard before the timeout. */
    SUSPECT,
    /** It has stopped or can't be reached. */
    DEAD,
    /** It has stopped as planned. */
    LEFT;

    /**
     * Returns whether a node in this state may be given work.
     *
     * @return true unless it is dead or has left
     */
    public boolean isUsable() {
        return this == ALIVE || this == SUSPECT;
    }
}
