package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class FenceProposalTest {
    private final FencingNumberGenerator mGenerator = new FencingNumberGenerator("n1");
    private final FenceProposal mProposal = new FenceProposal(mGenerator);

    @Test
    void propose_keepsTheNumberWhileNoneIsHigher() {
        long first = mProposal.propose(1_000);
        then(mProposal.propose(2_000)).isEqualTo(first);
        then(mProposal.accepts(first)).isTrue();
        then(mGenerator.highest()).isEqualTo(first);
    }

    /** Guards against a lower number than that of the last holder, whose clock is ahead. */
    @Test
    void accepts_noGrantOfAWitnessThatKnowsAHigherNumber() {
        long before = new FencingNumberGenerator("n2").next(60_000);
        long first = mProposal.propose(1_000);
        then(first).isLessThan(before);
        then(mProposal.accepts(before)).isFalse();
        then(mProposal.accepts(first)).isFalse();
        long second = mProposal.propose(1_100);
        then(second).isGreaterThan(before);
        then(mProposal.accepts(second)).isTrue();
    }

    @Test
    void clear_makesTheNextLeaseUseANewNumber() {
        long first = mProposal.propose(1_000);
        mProposal.clear();
        then(mProposal.accepts(first)).isFalse();
        then(mProposal.propose(1_000)).isGreaterThan(first);
    }
}
