package org.fescuehollow.versions;

import java.util.Random;

/** What happens to the engines and the nodes in a replay of software versions. */
enum VersionScenario {
    QUIET(0, 0, 0),
    /** An engine of another version comes and is gone before all nodes could adopt it. */
    SHORT_LIVED_ENGINES(0, 0.01, 0),
    /** Engines return under their ids at another version. */
    ENGINES_THAT_RETURN(0, 0.01, 0),
    RELEASE_OF_HALF(0.5, 0, 0),
    RELEASE_OF_ALL(1, 0, 0),
    HALF_AND_KILLS_OF_ONE(0.5, 0.01, 0),
    HALF_AND_KILL_OF_HALF(0.5, 0.5, 0),
    HALF_AND_KILL_OF_ALL(0.5, 1, 0),
    ALL_AND_KILL_OF_HALF(1, 0.5, 0),
    ALL_AND_KILL_OF_ALL(1, 1, 0),
    HALF_AND_SHORT_CUTS(0.5, 0, 6_000),
    HALF_AND_LONG_CUTS(0.5, 0, 30_000),
    ALL_AND_LONG_CUTS(1, 0, 30_000),
    HALF_KILL_OF_HALF_AND_CUTS(0.5, 0.5, 6_000),
    HALF_KILL_OF_ALL_AND_SHORT_CUTS(0.5, 1, 6_000),
    HALF_KILL_OF_ALL_AND_LONG_CUTS(0.5, 1, 30_000),
    HALF_AND_SHORT_ISOLATION(0.5, 0, 6_000),
    HALF_AND_LONG_ISOLATION(0.5, 0, 30_000),
    HALF_KILL_OF_ALL_AND_SHORT_ISOLATION(0.5, 1, 6_000),
    HALF_KILL_OF_ALL_AND_LONG_ISOLATION(0.5, 1, 30_000);

    /** Every fourth node is cut off from the store in a scenario with cuts. */
    private static final double CUT_SHARE = 0.25;

    private final double mReleased;
    private final double mKilled;
    private final int mCutMillis;

    VersionScenario(double released, double killed, int cutMillis) {
        mReleased = released;
        mKilled = killed;
        mCutMillis = cutMillis;
    }

    /** Returns how many engines are replaced by ones of another version. */
    int releasedEngines(int engines) {
        return (int) Math.ceil(engines * mReleased);
    }

    /** Returns how many nodes are killed at once. */
    int killedNodes(int nodes) {
        return mKilled == 0 ? 0 : Math.max(1, (int) (nodes * mKilled));
    }

    /** Returns how often nodes are killed. */
    int kills() {
        return mKilled > 0 && mKilled < 0.1 ? 8 : 1;
    }

    /** Returns for how long a node is cut off from the store; 0 if it isn't. */
    int cutMillis(Random random) {
        return mCutMillis > 0 && random.nextDouble() < CUT_SHARE ? mCutMillis : 0;
    }

    int shortLivedEngines() {
        return this == SHORT_LIVED_ENGINES ? 6 : 0;
    }

    int returningEngines() {
        return this == ENGINES_THAT_RETURN ? 3 : 0;
    }

    /** Returns whether nodes are cut off from each other as well. */
    boolean isolates() {
        return name().endsWith("ISOLATION");
    }
}
