package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseVotesTest {
    private static final List<String> WITNESSES = List.of("w1", "w2", "w3");

    private final LeaseVotes mVotes = new LeaseVotes();

    @Test
    void majorityNanos_isFarInThePastWithoutAMajority() {
        mVotes.onGranted("w1", 9);
        then(mVotes.majorityNanos(WITNESSES)).isNegative();
    }

    @Test
    void majorityNanos_isTheNewestTimeOfAMajority() {
        mVotes.onGranted("w1", 9);
        mVotes.onGranted("w2", 5);
        then(mVotes.majorityNanos(WITNESSES)).isEqualTo(5);
        mVotes.onGranted("w3", 7);
        then(mVotes.majorityNanos(WITNESSES)).isEqualTo(7);
        then(mVotes.majorityNanos(List.of("w1"))).isEqualTo(9);
        then(mVotes.majorityNanos(List.of("w1", "w2"))).isEqualTo(5);
    }

    @Test
    void majorityNanos_ignoresNodesThatAreNoWitnesses() {
        mVotes.onGranted("w1", 9);
        mVotes.onGranted("other", 9);
        then(mVotes.majorityNanos(WITNESSES)).isNegative();
    }

    /** Guards against a grant that was withdrawn and arrives late. */
    @Test
    void clear_ignoresGrantsThatWereAskedForBefore() {
        mVotes.onGranted("w1", 9);
        mVotes.clear(10);
        mVotes.onGranted("w1", 10);
        mVotes.onGranted("w2", 11);
        mVotes.onGranted("w3", 9);
        then(mVotes.majorityNanos(WITNESSES)).isNegative();
        then(mVotes.majorityNanos(List.of("w2"))).isEqualTo(11);
    }
}
