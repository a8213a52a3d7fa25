package org.fescuehollow.versions;

/** Ways to know at which version a stream began, besides the own record of a node. */
enum VersionPolicy {
    /** Derives from the shares of the window, also those of the store's history; asks others. */
    FULL(true, true, true),
    /** Like {@link #FULL}, but says nothing to others. */
    WITHOUT_PEERS(true, true, false),
    /** Like {@link #FULL}, but a process that has started knows nothing of before. */
    WITHOUT_STORE_HISTORY(true, false, true),
    /** Tells others of each stream, and derives nothing. */
    EXCHANGE_ONLY(false, false, true),
    /** Takes the version that a new stream of that id would get now. */
    ID_ALONE(false, false, false),
    /** Refuses what the node doesn't know itself. */
    REFUSAL(false, false, false);

    private final boolean mDerives;
    private final boolean mReplays;
    private final boolean mTells;

    VersionPolicy(boolean derives, boolean replays, boolean tells) {
        mDerives = derives;
        mReplays = replays;
        mTells = tells;
    }

    boolean derives() {
        return mDerives;
    }

    boolean replaysHistory() {
        return mReplays;
    }

    boolean tellsPeers() {
        return mTells;
    }
}
