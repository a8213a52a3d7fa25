package org.fescuehollow.membership;

/** What a node believes of another. Immutable and safe for use by any thread. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It didn't answer in time; it may still prove that it lives. */
    SUSPECT,
    /** It is gone or can't be reached. */
    DEAD,
    /** It has stopped as planned. */
    LEFT;

    /**
     * Tells whether work may still go to a node in this state.
     *
     * @return true unless it is dead or has left
     */
    public boolean isUsable() {
        return this == ALIVE || this == SUSPECT;
    }
}
