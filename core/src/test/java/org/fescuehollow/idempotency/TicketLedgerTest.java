package org.fescuehollow.idempotency;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.junit.jupiter.api.Test;

class TicketLedgerTest {
    private static final Outcome PAID = Outcome.answer(200, "text/plain", new byte[] {1});
    private final TicketLedger mLedger = new TicketLedger("n1", "life1", new byte[] {7}, 2);

    @Test
    void begin_runsATicketOnceAndReplaysItsOutcome() {
        // GIVEN
        Ticket t = mLedger.mint();
        // WHEN
        LedgerAnswer first = mLedger.begin(t, 1);
        LedgerAnswer during = mLedger.begin(t, 1);
        mLedger.end(t, PAID);
        LedgerAnswer after = mLedger.begin(t, 1);
        // THEN
        then(first).isInstanceOf(LedgerAnswer.Run.class);
        then(codeOf(during)).isEqualTo(ErrorCode.KEY_IN_PROGRESS);
        then(after).isEqualTo(new LedgerAnswer.Replay(PAID));
    }

    @Test
    void begin_refusesTheSameTicketWithAnotherRequest() {
        // GIVEN
        Ticket t = mLedger.mint();
        mLedger.begin(t, 1);
        // WHEN / THEN
        then(codeOf(mLedger.begin(t, 2))).isEqualTo(ErrorCode.KEY_REUSED);
    }

    @Test
    void begin_neverRunsATicketWhoseRecordWasDropped() {
        // GIVEN
        List<Ticket> tickets = Stream.generate(mLedger::mint).limit(4).toList();
        tickets.forEach(t -> mLedger.begin(t, 1));
        // WHEN
        LedgerAnswer again = mLedger.begin(tickets.get(0), 1);
        // THEN
        then(codeOf(again)).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
        then(mLedger.size()).isEqualTo(2);
    }

    @Test
    void begin_runsAgainWhatTrulyDidNotRun() {
        // GIVEN
        Ticket t = mLedger.mint();
        mLedger.begin(t, 1);
        Problem notRun = Problem.of(ErrorCode.NO_CAPACITY, RunState.NOT_RUN, "full", "again");
        // WHEN
        mLedger.end(t, Outcome.failure(notRun));
        // THEN
        then(mLedger.begin(t, 1)).isInstanceOf(LedgerAnswer.Run.class);
    }

    @Test
    void isOwn_refusesForgedAndForeignTickets() {
        // GIVEN
        Ticket t = mLedger.mint();
        TicketLedger later = new TicketLedger("n1", "life2", new byte[] {7}, 2);
        // WHEN / THEN
        then(mLedger.isOwn(Ticket.parse(t.toString()).orElseThrow())).isTrue();
        then(mLedger.isOwn(new Ticket("n1", "life1", 99, t.seal()))).isFalse();
        then(later.isOwn(t)).isFalse();
    }

    @Test
    void end_dropsTheOldestAnswersBeyondTheBytesAllowed() {
        // GIVEN
        TicketLedger ledger = new TicketLedger("n1", "life1", new byte[] {7}, 100);
        List<Ticket> tickets = Stream.generate(ledger::mint).limit(3).toList();
        byte[] half = new byte[(int) (TicketLedger.MAX_ANSWER_BYTES / 2)];
        // WHEN
        tickets.forEach(t -> ledger.begin(t, 1));
        tickets.forEach(t -> ledger.end(t, Outcome.answer(200, "", half)));
        // THEN
        then(codeOf(ledger.begin(tickets.get(0), 1))).isEqualTo(ErrorCode.KEY_OUTCOME_UNKNOWN);
        then(ledger.begin(tickets.get(1), 1)).isInstanceOf(LedgerAnswer.Replay.class);
        then(ledger.begin(tickets.get(2), 1)).isInstanceOf(LedgerAnswer.Replay.class);
    }

    private static ErrorCode codeOf(LedgerAnswer answer) {
        return ((LedgerAnswer.Refuse) answer).problem().code();
    }
}
