package org.fescuehollow.idempotency;

import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldAwaitOutcome;
import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldKeepRequest;
import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldKnowOutcome;
import static org.fescuehollow.internal.Preconditions.requireBetween;

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
 * run; a ticket whose record was dropped to bound the memory is never run again. Not safe for
 * concurrent use.
 */
public final class TicketLedger {
    private final String mNode;
    private final String mIncarnation;
    private final TicketSeal mSeal;
    private final int mCapacity;
    private final SortedMap<Long, Entry> mEntries = new TreeMap<>();
    private long mNextSerial;
    private long mForgottenBelow;

    /** A used ticket: the digest of its call, and its outcome once known. */
    private record Entry(long digest, Optional<Outcome> outcome) {}

    /**
     * Creates an empty ledger.
     *
     * @param node this node's id
     * @param incarnation this process's life
     * @param seal seals its tickets
     * @param capacity how many used tickets are remembered
     */
    public TicketLedger(String node, String incarnation, TicketSeal seal, int capacity) {
        mNode = node;
        mIncarnation = incarnation;
        mSeal = seal;
        mCapacity = (int) requireBetween("capacity", capacity, 1, Integer.MAX_VALUE);
    }

    /**
     * Makes a ticket never used before.
     *
     * @return the ticket
     */
    public Ticket mint() {
        return mSeal.seal(mNode, mIncarnation, mNextSerial++);
    }

    /**
     * Tells whether this ledger may answer for a ticket.
     *
     * @param ticket the ticket
     * @return true if it was minted here, in this life
     */
    public boolean isOwn(Ticket ticket) {
        return ticket.node().equals(mNode)
                && ticket.incarnation().equals(mIncarnation)
                && mSeal.isGenuine(ticket);
    }

    /**
     * Asks to run the call of a ticket and records that it runs.
     *
     * @param ticket a ticket of this ledger
     * @param digest the call's digest
     * @return whether to run, replay or refuse
     */
    public LedgerAnswer begin(Ticket ticket, long digest) {
        Entry known = mEntries.get(ticket.serial());
        if (known != null) {
            return answerOf(known, digest);
        }
        if (ticket.serial() < mForgottenBelow) {
            return new LedgerAnswer.Refuse(
                    shouldKnowOutcome("its record was dropped to bound the memory"));
        }
        mEntries.put(ticket.serial(), new Entry(digest, Optional.empty()));
        dropOldest();
        return new LedgerAnswer.Run();
    }

    private static LedgerAnswer answerOf(Entry known, long digest) {
        if (known.digest() != digest) {
            return new LedgerAnswer.Refuse(shouldKeepRequest());
        }
        return known.outcome()
                .<LedgerAnswer>map(LedgerAnswer.Replay::new)
                .orElseGet(() -> new LedgerAnswer.Refuse(shouldAwaitOutcome()));
    }

    private void dropOldest() {
        if (mEntries.size() > mCapacity) {
            long oldest = mEntries.firstKey();
            mEntries.remove(oldest);
            mForgottenBelow = oldest + 1;
        }
    }

    /**
     * Records what became of a ticket's call.
     *
     * @param ticket the ticket
     * @param outcome the outcome; a problem with {@code NOT_RUN} frees the ticket for another run
     */
    public void end(Ticket ticket, Outcome outcome) {
        Entry known = mEntries.get(ticket.serial());
        if (known == null) {
            return;
        }
        boolean notRun = outcome.problem().filter(p -> p.ran() == RunState.NOT_RUN).isPresent();
        if (notRun) {
            mEntries.remove(ticket.serial());
        } else {
            mEntries.put(ticket.serial(), new Entry(known.digest(), Optional.of(outcome)));
        }
    }

    /**
     * Returns how many used tickets are remembered.
     *
     * @return at most the capacity
     */
    public int size() {
        return mEntries.size();
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
