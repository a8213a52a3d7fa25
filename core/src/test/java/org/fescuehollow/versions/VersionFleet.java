package org.fescuehollow.versions;

/** The size of a fleet in a replay of software versions. */
enum VersionFleet {
    SMALL(9, 6, 50),
    MEDIUM(95, 20, 5),
    LARGE(300, 30, 2);

    private final int mNodes;
    private final int mEngines;
    private final int mSeeds;

    VersionFleet(int nodes, int engines, int seeds) {
        mNodes = nodes;
        mEngines = engines;
        mSeeds = seeds;
    }

    int nodes() {
        return mNodes;
    }

    int engines() {
        return mEngines;
    }

    /** Returns the number of runs, each with a seed of its own. */
    int seeds() {
        return Math.max(mSeeds, Integer.getInteger("versions.seeds", 0));
    }
}
