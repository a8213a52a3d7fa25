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
public final class PermitPool implements LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MAX_UNUSED_LOAN_NANOS = Duration.ofMillis(500).toNanos();

    private final String mNode;
    private final long mMaxLoadNanos;
    private final Map<Long, Long> mOutstanding = new HashMap<>();
    private final Deque<UnusedLoan> mUnusedLoans = new ArrayDeque<>();
    private final List<Permit> mToReturn = new ArrayList<>();
    private StoreShare mShare = StoreShare.NONE;
    private long mShareChangedNanos;
    private int mUsableInTransit;
    private double mTokens;
    private long mRefilledNanos;
    private long mNextNumber;
    private final PermitRequestQueue mRequests = new PermitRequestQueue();

    /** A loan not yet used. */
    private record UnusedLoan(Permit permit, long receivedNanos) {}

    /**
     * Creates a bank without a share.
     *
     * @param node this node's id
     * @param now the monotonic time in nanoseconds
     * @param loadNanos the longest time of a load; a load that takes longer is given up
     */
    public PermitPool(String node, long now, long loadNanos) {
        mNode = node;
        mRefilledNanos = now;
        mMaxLoadNanos = loadNanos;
        mShareChangedNanos = now;
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
        mUsableInTransit =
                first ? share.inTransit() : Math.min(usableInTransit(now), share.inTransit());
        mShareChangedNanos = now;
        mShare = share;
    }

    private int usableInTransit(long now) {
        return now - mShareChangedNanos >= mMaxLoadNanos ? mShare.inTransit() : mUsableInTransit;
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - mRefilledNanos) / NANOS_PER_SECOND;
        mRefilledNanos = Math.max(now, mRefilledNanos);
        mTokens = Math.min(1, mTokens + seconds * mShare.loadsPerSecond());
        mOutstanding.values().removeIf(expires -> now - expires >= 0);
    }

    @Override
    public Optional<Permit> tryAcquire(long now, PermitRequest want) {
        mRequests.addOrRefresh(now, want);
        refill(now);
        if (!hasAnyPermit(now) || !mRequests.isFirst(now, want)) {
            return Optional.empty();
        }
        Optional<Permit> permit = takeOwn(now).or(() -> takeLoan(now));
        permit.ifPresent(p -> mRequests.onGranted(now, want));
        return permit;
    }

    private boolean hasAnyPermit(long now) {
        return hasOwnPermit(now) || !mUnusedLoans.isEmpty();
    }

    private boolean hasOwnPermit(long now) {
        return mTokens >= 1 && mOutstanding.size() < usableInTransit(now);
    }

    private Optional<Permit> takeOwn(long now) {
        if (!hasOwnPermit(now)) {
            return Optional.empty();
        }
        mTokens -= 1;
        Permit permit = new Permit(mNextNumber++, mNode, now + 2 * mMaxLoadNanos);
        mOutstanding.put(permit.number(), permit.expiresNanos());
        return Optional.of(permit);
    }

    private Optional<Permit> takeLoan(long now) {
        return Optional.ofNullable(mUnusedLoans.poll())
                .map(UnusedLoan::permit)
                .filter(p -> p.expiresNanos() - now >= mMaxLoadNanos);
    }

    @Override
    public void release(long now, Permit permit) {
        if (permit.owner().equals(mNode)) {
            mOutstanding.remove(permit.number());
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
                mRequests.highestUrgency(now).filter(own -> own.compareTo(need) <= 0).isPresent();
        return needsItMore ? Optional.empty() : takeOwn(now);
    }

    /**
     * Takes a loan.
     *
     * @param now the monotonic time in nanoseconds
     * @param permit the permit, with its end translated to this node's clock
     */
    public void addLoan(long now, Permit permit) {
        mUnusedLoans.add(new UnusedLoan(permit, now));
    }

    /**
     * Returns how much a load needs a permit that this node doesn't have.
     *
     * @param now the monotonic time in nanoseconds
     * @return empty if no permit was asked for lately in vain, or a loan is at hand
     */
    public Optional<Urgency> borrowingUrgency(long now) {
        return mUnusedLoans.isEmpty() ? mRequests.highestUrgency(now) : Optional.empty();
    }

    /**
     * Returns loans that are to be given back to their owners.
     *
     * @param now the monotonic time in nanoseconds
     * @return each permit once
     */
    public List<Permit> drainReturns(long now) {
        while (!mUnusedLoans.isEmpty()
                && now - mUnusedLoans.peek().receivedNanos() >= MAX_UNUSED_LOAN_NANOS) {
            mToReturn.add(mUnusedLoans.poll().permit());
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
    public void onLoanReturned(long number) {
        mOutstanding.remove(number);
    }

    /**
     * Returns how long a borrower may hold a permit.
     *
     * @return nanoseconds from when it asked
     */
    public long maxLoanNanos() {
        return 2 * mMaxLoadNanos;
    }

    /**
     * Returns how many permits of this node's own share are out.
     *
     * @return loads in transit here and loans
     */
    public int outstanding() {
        return mOutstanding.size();
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
