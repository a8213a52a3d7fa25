package org.fescuehollow.versions;

/** Counts what became of streams. */
final class VersionTally {
    /** Fewer streams to resume than this say nothing about their share. */
    private static final int MIN_TAKEN = 12;

    /** A stream that waited longer for its placement began late. */
    private static final int LATE_MILLIS = 300;

    private int mBegun;
    private int mLate;
    private int mNotBegun;
    private int mTaken;
    private int mWentOn;
    private int mTakenAfterKill;
    private int mWentOnAfterKill;
    private int mWrong;
    private int mTold;
    private int mRunsBelowHalf;
    private double mLowestShare = 1;

    void onBegun(int waitedMillis) {
        mBegun++;
        mLate += waitedMillis > LATE_MILLIS ? 1 : 0;
    }

    void onNotBegun() {
        mNotBegun++;
    }

    /** Counts a stream that a node in touch may resume while two engines of its version serve. */
    void onTaken(boolean afterKill, boolean wentOn) {
        mTaken++;
        mWentOn += wentOn ? 1 : 0;
        mTakenAfterKill += afterKill ? 1 : 0;
        mWentOnAfterKill += afterKill && wentOn ? 1 : 0;
    }

    void onWrongVersion() {
        mWrong++;
    }

    void onTold() {
        mTold++;
    }

    /** Adds the counts of a run. */
    void add(VersionTally run) {
        mBegun += run.mBegun;
        mLate += run.mLate;
        mNotBegun += run.mNotBegun;
        mTaken += run.mTaken;
        mWentOn += run.mWentOn;
        mTakenAfterKill += run.mTakenAfterKill;
        mWentOnAfterKill += run.mWentOnAfterKill;
        mWrong += run.mWrong;
        mTold += run.mTold;
        mRunsBelowHalf += run.isBelowHalf() ? 1 : 0;
        mLowestShare = Math.min(mLowestShare, run.goneOnShare());
    }

    /** Returns whether the streams resumed in a run are less than half as many as those begun. */
    private boolean isBelowHalf() {
        return mTaken >= MIN_TAKEN && goneOnShare() < begunShare() / 2;
    }

    int wrong() {
        return mWrong;
    }

    int runsBelowHalf() {
        return mRunsBelowHalf;
    }

    /** Returns the share of the streams to resume that went on. */
    double goneOnShare() {
        return share(mWentOn, mTaken);
    }

    /** Returns that share of the streams whose node was killed. */
    double goneOnAfterKillShare() {
        return share(mWentOnAfterKill, mTakenAfterKill);
    }

    double begunShare() {
        return share(mBegun, mBegun + mNotBegun);
    }

    private static double share(int part, int whole) {
        return whole == 0 ? 1 : (double) part / whole;
    }

    @Override
    public String toString() {
        return String.format(
                "taken %6d on %.3f min %.3f; killed %5d on %.3f; begun %.4f late %.4f; told %.3f;"
                        + " wrong %d; below half %d",
                mTaken,
                goneOnShare(),
                mLowestShare,
                mTakenAfterKill,
                goneOnAfterKillShare(),
                begunShare(),
                share(mLate, mBegun),
                share(mTold, mBegun),
                mWrong,
                mRunsBelowHalf);
    }
}
