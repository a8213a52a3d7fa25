package org.fescuehollow.idempotency;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.junit.jupiter.api.Test;

class TicketLedgerTest {
    private static final Outcome SUCCESS = Outcome.ofResponse(200, "text/plain", new byte[] {1});
    private final TicketLedger mLedger = new TicketLedger("n1", "life1", new byte[] {7}, 2);

    @Test
    void begin_runsATicketOnceAndReplaysItsOutcome() {
        // GIVEN
        Ticket t = mLedger.issue();
        // WHEN
        LedgerDecision first = mLedger.begin(t, 1);
        LedgerDecision during = mLedger.begin(t, 1);
        mLedger.complete(t, SUCCESS);
        LedgerDecision after = mLedger.begin(t, 1);
        // THEN
        then(first).isInstanceOf(LedgerDecision.Run.class);
        then(codeOf(during)).isEqualTo(ErrorCode.KEY_IN_PROGRESS);
        then(after).isEqualTo(new LedgerDecision.Replay(SUCCESS));
    }

    @Test
    void begin_refusesATicketReusedForAnotherRequest() {
        // GIVEN
        Ticket t = mLedger.issue();
        mLedger.begin(t, 1);
        // WHEN / THEN
        then(codeOf(mLedger.begin(t, 2))).isEqualTo(ErrorCode.KEY_REUSED);
    }

    @Test
    void begin_neverRunsATicketWhoseRecordWasDropped() {
        // GIVEN
        List<Ticket> tickets = Stream.generate(mLedger::issue).limit(4).toList();
        tickets.forEach(t -> mLedger.begin(t, 1));
        // WHEN
        LedgerDecision again = mLedger.begin(tickets.get(0), 1);
        // THEN
        then(codeOf(again)).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
        then(mLedger.size()).isEqualTo(2);
    }

    @Test
    void begin_runsATicketAgainAfterNotRun() {
        // GIVEN
        Ticket t = mLedger.issue();
        mLedger.begin(t, 1);
        Problem notRun = Problem.of(ErrorCode.NO_CAPACITY, RunState.NOT_RUN, "full", "again");
        // WHEN
        mLedger.complete(t, Outcome.ofProblem(notRun));
        // THEN
        then(mLedger.begin(t, 1)).isInstanceOf(LedgerDecision.Run.class);
    }

    @Test
    void hasIssued_rejectsForgedAndForeignTickets() {
        // GIVEN
        Ticket t = mLedger.issue();
        TicketLedger later = new TicketLedger("n1", "life2", new byte[] {7}, 2);
        // WHEN / THEN
        then(mLedger.hasIssued(Ticket.parse(t.toString()).orElseThrow())).isTrue();
        then(mLedger.hasIssued(new Ticket("n1", "life1", 99, t.mac()))).isFalse();
        then(later.hasIssued(t)).isFalse();
    }

    @Test
    void complete_dropsTheOldestRecordsAboveTheByteLimit() {
        // GIVEN
        TicketLedger ledger = new TicketLedger("n1", "life1", new byte[] {7}, 100);
        List<Ticket> tickets = Stream.generate(ledger::issue).limit(3).toList();
        byte[] half = new byte[(int) (TicketLedger.MAX_STORED_BODY_BYTES / 2)];
        // WHEN
        tickets.forEach(t -> ledger.begin(t, 1));
        tickets.forEach(t -> ledger.complete(t, Outcome.ofResponse(200, "", half)));
        // THEN
        then(codeOf(ledger.begin(tickets.get(0), 1))).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
        then(ledger.begin(tickets.get(1), 1)).isInstanceOf(LedgerDecision.Replay.class);
        then(ledger.begin(tickets.get(2), 1)).isInstanceOf(LedgerDecision.Replay.class);
    }

    private static ErrorCode codeOf(LedgerDecision decision) {
        return ((LedgerDecision.Refuse) decision).problem().code();
    }
}
