package org.fescuehollow.idempotency;

import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldHaveKnownOutcome;
import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldMatchFirstRequest;
import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldNotBeInProgress;
import static org.fescuehollow.internal.Preconditions.requireInRange;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.error.RunState;

/**
 * The tickets issued by one incarnation of a node, and the outcomes of those that were used.
 *
 * <pre>{@code
 * Ticket t = ledger.issue();
 * ledger.begin(t, digest);        // Run
 * ledger.complete(t, outcome);
 * ledger.begin(t, digest);        // Replay
 * }</pre>
 *
 * <p>Invariants: a ticket gets {@code Run} at most once, unless its call ended as not run; a ticket
 * whose record was dropped to limit memory use never runs again; after the hand-over no call is
 * started by this ledger. Not safe for concurrent use.
 */
public final class TicketLedger {
    /** Limit of the total size of stored response bodies, in bytes. */
    static final long MAX_STORED_BODY_BYTES = 64L << 20;

    private final String mNode;
    private final String mIncarnation;
    private final byte[] mSecret;
    private final TicketSigner mSigner;
    private final int mCapacity;
    private final SortedMap<Long, LedgerRecord> mRecords = new TreeMap<>();
    private long mNextSerial;
    private long mStoredBodyBytes;
    private long mForgottenBelow;
    private boolean mHandedOver;

    /**
     * Creates an empty ledger.
     *
     * @param node this node's id
     * @param incarnation incarnation of this process
     * @param secret random bytes, used as the HMAC key of the tickets
     * @param capacity the maximum number of used tickets that are kept
     */
    public TicketLedger(String node, String incarnation, byte[] secret, int capacity) {
        mNode = node;
        mIncarnation = incarnation;
        mSecret = secret.clone();
        mSigner = new TicketSigner(mSecret);
        mCapacity = (int) requireInRange("capacity", capacity, 1, Integer.MAX_VALUE);
    }

    /**
     * Restores the ledger of a node that has stopped.
     *
     * @param snapshot the state that the node handed over
     * @param capacity the maximum number of used tickets that are kept
     * @return a ledger that decides on the same tickets
     */
    public static TicketLedger fromSnapshot(LedgerSnapshot snapshot, int capacity) {
        TicketLedger ledger =
                new TicketLedger(
                        snapshot.node(), snapshot.incarnation(), snapshot.secret(), capacity);
        ledger.mNextSerial = snapshot.nextSerial();
        ledger.mForgottenBelow = snapshot.forgottenBelow();
        snapshot.records().forEach(r -> ledger.put(closeInterrupted(r)));
        ledger.dropOldestOverLimits();
        return ledger;
    }

    /**
     * Completes the record of a call that was running when its node stopped: its outcome can no
     * longer be known.
     */
    private static LedgerRecord closeInterrupted(LedgerRecord r) {
        return r.outcome().isPresent()
                ? r
                : new LedgerRecord(
                        r.serial(),
                        r.digest(),
                        Optional.of(
                                Outcome.ofProblem(
                                        shouldHaveKnownOutcome("its node stopped while it ran"))));
    }

    /**
     * Hands the ledger over: from now on this ledger starts no calls, only the receiver does.
     *
     * @return the state for the receiver, which treats the outcome of a call that still runs as
     *     unknown
     */
    public LedgerSnapshot handOver() {
        mHandedOver = true;
        return new LedgerSnapshot(
                mNode,
                mIncarnation,
                mSecret.clone(),
                mNextSerial,
                mForgottenBelow,
                List.copyOf(mRecords.values()));
    }

    /**
     * Issues an unused ticket.
     *
     * @return the ticket
     */
    public Ticket issue() {
        return mSigner.sign(mNode, mIncarnation, mNextSerial++);
    }

    /**
     * Returns whether a ticket was issued by this ledger.
     *
     * @param ticket the ticket
     * @return true if its parts and its MAC match this ledger
     */
    public boolean hasIssued(Ticket ticket) {
        return ticket.node().equals(mNode)
                && ticket.incarnation().equals(mIncarnation)
                && ticket.serial() < mNextSerial
                && mSigner.verify(ticket);
    }

    /**
     * Decides whether the call of a ticket may run, and if so records the ticket as used.
     *
     * @param ticket a ticket of this ledger
     * @param digest the digest of the call
     * @return whether to run, replay or refuse the call
     */
    public LedgerDecision begin(Ticket ticket, long digest) {
        LedgerRecord known = mRecords.get(ticket.serial());
        if (known != null) {
            return decisionFor(known, digest);
        }
        if (mHandedOver) {
            return new LedgerDecision.Refuse(shouldHaveKnownOutcome("its node is stopping"));
        }
        if (ticket.serial() < mForgottenBelow) {
            return new LedgerDecision.Refuse(
                    shouldHaveKnownOutcome("its record was dropped to limit memory use"));
        }
        put(new LedgerRecord(ticket.serial(), digest, Optional.empty()));
        dropOldestOverLimits();
        return new LedgerDecision.Run();
    }

    private static LedgerDecision decisionFor(LedgerRecord known, long digest) {
        if (known.digest() != digest) {
            return new LedgerDecision.Refuse(shouldMatchFirstRequest());
        }
        return known.outcome()
                .<LedgerDecision>map(LedgerDecision.Replay::new)
                .orElseGet(() -> new LedgerDecision.Refuse(shouldNotBeInProgress()));
    }

    private void put(LedgerRecord r) {
        remove(r.serial());
        mRecords.put(r.serial(), r);
        mStoredBodyBytes += r.bodyBytes();
    }

    private void remove(long serial) {
        LedgerRecord old = mRecords.remove(serial);
        mStoredBodyBytes -= old == null ? 0 : old.bodyBytes();
    }

    private void dropOldestOverLimits() {
        while (mRecords.size() > mCapacity || mStoredBodyBytes > MAX_STORED_BODY_BYTES) {
            long oldest = mRecords.firstKey();
            remove(oldest);
            mForgottenBelow = Math.max(mForgottenBelow, oldest + 1);
        }
    }

    /**
     * Records the outcome of a ticket's call.
     *
     * @param ticket the ticket
     * @param outcome the outcome; after a problem with {@code NOT_RUN} the ticket may run again
     */
    public void complete(Ticket ticket, Outcome outcome) {
        LedgerRecord known = mRecords.get(ticket.serial());
        if (known == null) {
            return;
        }
        boolean notRun =
                outcome.problem().filter(p -> p.runState() == RunState.NOT_RUN).isPresent();
        if (notRun) {
            remove(ticket.serial());
        } else {
            put(new LedgerRecord(ticket.serial(), known.digest(), Optional.of(outcome)));
            dropOldestOverLimits();
        }
    }

    /**
     * Returns the number of used tickets that are kept.
     *
     * @return at most the capacity
     */
    public int size() {
        return mRecords.size();
    }

    /**
     * Returns the serial number below which a ticket without a record never runs.
     *
     * @return a serial number
     */
    public long forgottenBelow() {
        return mForgottenBelow;
    }
}
