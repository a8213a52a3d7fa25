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
 * The tickets that one process's life has minted, and what became of those used.
 *
 * <pre>{@code
 * Ticket t = ledger.mint();
 * ledger.begin(t, digest);        // Run
 * ledger.end(t, outcome);
 * ledger.begin(t, digest);        // Replay
 * }</pre>
 *
 * <p>Invariants: a ticket is answered with {@code Run} at most once, unless its run ended as not
 * run; a ticket whose record was dropped to bound the memory is never run again; after a snapshot
 * for another node was taken, nothing runs here. Not safe for concurrent use.
 */
public final class TicketLedger {
    /** The most bytes of answers that are remembered. */
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
     * @param incarnation this process's life
     * @param secret random bytes that seal its tickets
     * @param capacity how many used tickets are remembered
     */
    public TicketLedger(String node, String incarnation, byte[] secret, int capacity) {
        mNode = node;
        mIncarnation = incarnation;
        mSecret = secret.clone();
        mSigner = new TicketSigner(mSecret);
        mCapacity = (int) requireInRange("capacity", capacity, 1, Integer.MAX_VALUE);
    }

    /**
     * Takes over the ledger of a node that has stopped.
     *
     * @param snapshot what the node handed over
     * @param capacity how many used tickets are remembered
     * @return a ledger that answers for the same tickets
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

    /** A call that was still running when its node stopped will never tell its outcome. */
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
     * Hands the ledger over: from now on only the receiver may run its tickets.
     *
     * @return all that the receiver needs; calls still running count as of unknown outcome
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
     * Makes a ticket never used before.
     *
     * @return the ticket
     */
    public Ticket issue() {
        return mSigner.sign(mNode, mIncarnation, mNextSerial++);
    }

    /**
     * Tells whether this ledger may answer for a ticket.
     *
     * @param ticket the ticket
     * @return true if it was minted by this ledger
     */
    public boolean hasIssued(Ticket ticket) {
        return ticket.node().equals(mNode)
                && ticket.incarnation().equals(mIncarnation)
                && ticket.serial() < mNextSerial
                && mSigner.verify(ticket);
    }

    /**
     * Asks to run the call of a ticket and records that it runs.
     *
     * @param ticket a ticket of this ledger
     * @param digest the call's digest
     * @return whether to run, replay or refuse
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
                    shouldHaveKnownOutcome("its record was dropped to bound the memory"));
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
     * Records what became of a ticket's call.
     *
     * @param ticket the ticket
     * @param outcome the outcome; a problem with {@code NOT_RUN} frees the ticket for another run
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
     * Returns how many used tickets are remembered.
     *
     * @return at most the capacity
     */
    public int size() {
        return mRecords.size();
    }

    /**
     * Returns the number below which unremembered tickets never run.
     *
     * @return a serial number
     */
    public long forgottenBelow() {
        return mForgottenBelow;
    }
}
