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
 * One node's permits to load from the weight store: its own share and permits lent by other nodes.
 *
 * <p>A node without a free permit borrows one from a node that has one. The lender counts the loan
 * against its own share until the permit is returned or has expired, which is after the borrower's
 * load must have ended. So neither a network partition nor the failure of a node lets all nodes
 * together exceed the store's limits, and either one blocks at most the permits that are on loan.
 *
 * <p>Invariants: the permits of this node's own share that are outstanding, used here or lent,
 * never exceed its share of loads in transit; the own permits granted in an interval never exceed
 * the rate times the interval, plus a burst of one. Not safe for concurrent use.
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

    /** A borrowed permit that no load uses yet. */
    private record UnusedLoan(Permit permit, long receivedNanos) {}

    /**
     * Creates a pool without a share.
     *
     * @param node this node's id
     * @param now the monotonic time in nanoseconds
     * @param maxLoadNanos the timeout of a load in nanoseconds
     */
    public PermitPool(String node, long now, long maxLoadNanos) {
        mNode = node;
        mRefilledNanos = now;
        mMaxLoadNanos = maxLoadNanos;
        mShareChangedNanos = now;
    }

    /**
     * Sets this node's share. An increase of the loads in transit takes effect only when all loads
     * of the nodes that held it before must have ended. The first share takes effect at once.
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
    public Optional<Permit> tryAcquire(long now, PermitRequest request) {
        mRequests.addOrRefresh(now, request);
        refill(now);
        if (!hasAnyPermit(now) || !mRequests.isFirst(now, request)) {
            return Optional.empty();
        }
        Optional<Permit> permit = takeOwn(now).or(() -> takeLoan(now));
        permit.ifPresent(p -> mRequests.onGranted(now, request));
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
     * @param borrowerUrgency the urgency of the other node's load
     * @return the permit, or empty if this node has none or has a load that is at least as urgent
     */
    public Optional<Permit> lend(long now, Urgency borrowerUrgency) {
        refill(now);
        boolean ownIsMoreUrgent =
                mRequests
                        .highestUrgency(now)
                        .filter(own -> own.compareTo(borrowerUrgency) <= 0)
                        .isPresent();
        return ownIsMoreUrgent ? Optional.empty() : takeOwn(now);
    }

    /**
     * Adds a permit that another node has lent.
     *
     * @param now the monotonic time in nanoseconds
     * @param permit the permit, with its expiry converted to this node's clock
     */
    public void addLoan(long now, Permit permit) {
        mUnusedLoans.add(new UnusedLoan(permit, now));
    }

    /**
     * Returns the urgency of the load for which this node should borrow a permit.
     *
     * @param now the monotonic time in nanoseconds
     * @return the urgency, or empty if no load waits for a permit or an unused loan is available
     */
    public Optional<Urgency> borrowingUrgency(long now) {
        return mUnusedLoans.isEmpty() ? mRequests.highestUrgency(now) : Optional.empty();
    }

    /**
     * Removes and returns the borrowed permits to be returned to their owners: those released here
     * and those left unused for too long.
     *
     * @param now the monotonic time in nanoseconds
     * @return the permits, each of them only once
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
     * Frees a lent permit that the borrower has returned.
     *
     * @param number the permit's number
     */
    public void onLoanReturned(long number) {
        mOutstanding.remove(number);
    }

    /**
     * Returns how long a borrower may keep a permit.
     *
     * @return nanoseconds, counted from when the borrower asked for it
     */
    public long maxLoanNanos() {
        return 2 * mMaxLoadNanos;
    }

    /**
     * Returns how many permits of this node's own share are outstanding.
     *
     * @return the number of permits used here or lent
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
