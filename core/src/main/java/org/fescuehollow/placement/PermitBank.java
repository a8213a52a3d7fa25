package org.fescuehollow.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One node's permits to load from the weight store: its own share, and loans between nodes.
 *
 * <p>A node that wants to load and has no permit left borrows one from a node that has. The lender
 * counts the loan against its own share until it is returned, or until the borrower's load must
 * have ended, so no cut and no death lets the sum of all nodes exceed the store's limits, and none
 * strands more than the loans under way.
 *
 * <p>Invariants: permits of this node's own share that are out, here or lent, never exceed its
 * share in transit; permits begun in an interval never exceed its rate times the length plus the
 * burst of one. Not safe for concurrent use.
 */
public final class PermitBank implements LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long UNUSED_LOAN_NANOS = Duration.ofMillis(500).toNanos();

    private final String mNode;
    private final long mLoadNanos;
    private final Map<Long, Long> mOut = new HashMap<>();
    private final Deque<Borrowed> mBorrowed = new ArrayDeque<>();
    private final List<Permit> mToReturn = new ArrayList<>();
    private StoreShare mShare = StoreShare.NONE;
    private long mGrownNanos;
    private int mUnitsUsable;
    private double mTokens;
    private long mFilledNanos;
    private long mNext;
    private final WantQueue mWants = new WantQueue();

    /** A loan not yet used. */
    private record Borrowed(Permit permit, long takenNanos) {}

    /**
     * Creates a bank without a share.
     *
     * @param node this node's id
     * @param now the monotonic time in nanoseconds
     * @param loadNanos the longest time of a load; a load that takes longer is given up
     */
    public PermitBank(String node, long now, long loadNanos) {
        mNode = node;
        mFilledNanos = now;
        mLoadNanos = loadNanos;
        mGrownNanos = now;
    }

    /**
     * Sets this node's share. A share that grows does so only after loads of its earlier owners
     * must have ended; the first share counts at once.
     *
     * @param now the monotonic time in nanoseconds
     * @param share the share
     */
    public void setShare(long now, StoreShare share) {
        refill(now);
        if (share.equals(mShare)) {
            return;
        }
        boolean first = mShare.equals(StoreShare.NONE);
        mUnitsUsable = first ? share.inTransit() : Math.min(usableUnits(now), share.inTransit());
        mGrownNanos = now;
        mShare = share;
    }

    private int usableUnits(long now) {
        return now - mGrownNanos >= mLoadNanos ? mShare.inTransit() : mUnitsUsable;
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - mFilledNanos) / NANOS_PER_SECOND;
        mFilledNanos = Math.max(now, mFilledNanos);
        mTokens = Math.min(1, mTokens + seconds * mShare.loadsPerSecond());
        mOut.values().removeIf(expires -> now - expires >= 0);
    }

    @Override
    public Optional<Permit> tryTake(long now, Want want) {
        mWants.note(now, want);
        refill(now);
        if (!hasPermit(now) || !mWants.isFirst(now, want)) {
            return Optional.empty();
        }
        Optional<Permit> permit = fromOwn(now).or(() -> fromBorrowed(now));
        permit.ifPresent(p -> mWants.granted(now, want));
        return permit;
    }

    private boolean hasPermit(long now) {
        return ownsPermit(now) || !mBorrowed.isEmpty();
    }

    private boolean ownsPermit(long now) {
        return mTokens >= 1 && mOut.size() < usableUnits(now);
    }

    private Optional<Permit> fromOwn(long now) {
        if (!ownsPermit(now)) {
            return Optional.empty();
        }
        mTokens -= 1;
        Permit permit = new Permit(mNext++, mNode, now + 2 * mLoadNanos);
        mOut.put(permit.number(), permit.expiresNanos());
        return Optional.of(permit);
    }

    private Optional<Permit> fromBorrowed(long now) {
        return Optional.ofNullable(mBorrowed.poll())
                .map(Borrowed::permit)
                .filter(p -> p.expiresNanos() - now >= mLoadNanos);
    }

    @Override
    public void release(long now, Permit permit) {
        if (permit.owner().equals(mNode)) {
            mOut.remove(permit.number());
        } else {
            mToReturn.add(permit);
        }
    }

    /**
     * Lends a permit to another node.
     *
     * @param now the monotonic time in nanoseconds
     * @param need how much the other node's load needs it
     * @return the permit, or empty if this node has none or needs it more
     */
    public Optional<Permit> lend(long now, Urgency need) {
        refill(now);
        boolean needsItMore =
                mWants.urgency(now).filter(own -> own.compareTo(need) <= 0).isPresent();
        return needsItMore ? Optional.empty() : fromOwn(now);
    }

    /**
     * Takes a loan.
     *
     * @param now the monotonic time in nanoseconds
     * @param permit the permit, with its end translated to this node's clock
     */
    public void borrowed(long now, Permit permit) {
        mBorrowed.add(new Borrowed(permit, now));
    }

    /**
     * Returns how much a load needs a permit that this node doesn't have.
     *
     * @param now the monotonic time in nanoseconds
     * @return empty if no permit was asked for lately in vain, or a loan is at hand
     */
    public Optional<Urgency> need(long now) {
        return mBorrowed.isEmpty() ? mWants.urgency(now) : Optional.empty();
    }

    /**
     * Returns loans that are to be given back to their owners.
     *
     * @param now the monotonic time in nanoseconds
     * @return each permit once
     */
    public List<Permit> takeReturns(long now) {
        while (!mBorrowed.isEmpty() && now - mBorrowed.peek().takenNanos() >= UNUSED_LOAN_NANOS) {
            mToReturn.add(mBorrowed.poll().permit());
        }
        List<Permit> returns = List.copyOf(mToReturn);
        mToReturn.clear();
        return returns;
    }

    /**
     * Takes a loan back.
     *
     * @param number the permit's number
     */
    public void returned(long number) {
        mOut.remove(number);
    }

    /**
     * Returns how long a borrower may hold a permit.
     *
     * @return nanoseconds from when it asked
     */
    public long loanNanos() {
        return 2 * mLoadNanos;
    }

    /**
     * Returns how many permits of this node's own share are out.
     *
     * @return loads in transit here and loans
     */
    public int out() {
        return mOut.size();
    }

    /**
     * Returns this node's share.
     *
     * @return the share last set
     */
    public StoreShare share() {
        return mShare;
    }
}
