package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehollow.residency.LeaseCandidacy.Step;
import org.junit.jupiter.api.Test;

class LeaseCandidacyTest {
    private static final long TICK_MILLIS = 100;
    private static final List<String> WITNESSES = List.of("0", "1", "2");

    private final LeaseCandidacy mCandidacy = new LeaseCandidacy();

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void next_asksWhileTheNodeMayClaim() {
        then(mCandidacy.next(false, 0, 0)).isEqualTo(Step.NONE);
        then(mCandidacy.next(true, 0, nanos(100))).isEqualTo(Step.ASK);
        then(mCandidacy.next(true, 0, nanos(200))).isEqualTo(Step.ASK);
        mCandidacy.onClaimed();
        then(mCandidacy.isAsking()).isFalse();
    }

    @Test
    void next_withdrawsOnceTheNodeMayNotClaim() {
        then(mCandidacy.next(true, 0, 0)).isEqualTo(Step.ASK);
        then(mCandidacy.next(false, 0, nanos(100))).isEqualTo(Step.WITHDRAW);
        then(mCandidacy.next(false, 0, nanos(200))).isEqualTo(Step.NONE);
    }

    /** Replays three nodes that ask at the same moment, each its own witness first. */
    @Test
    void next_letsOneNodeWinAfterASplitVote() {
        LeaseWitness[] witnesses = {
            new LeaseWitness(3_000, nanos(-9_000)),
            new LeaseWitness(3_000, nanos(-9_000)),
            new LeaseWitness(3_000, nanos(-9_000))
        };
        Map<Integer, LeaseCandidacy> candidates = new HashMap<>();
        Map<Integer, LeaseVotes> votes = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            candidates.put(i, new LeaseCandidacy());
            votes.put(i, new LeaseVotes());
        }
        List<Integer> winners = new ArrayList<>();
        int withdrawals = 0;
        for (long t = 0; t < 2_000 && winners.isEmpty(); t += TICK_MILLIS) {
            long now = nanos(t);
            List<Step> steps = new ArrayList<>();
            candidates.forEach((i, c) -> steps.add(c.next(true, i, now)));
            for (int n = 0; n < 9; n++) {
                int i = n % 3;
                int w = (i + n / 3) % 3;
                if (steps.get(i) == Step.WITHDRAW) {
                    votes.get(i).clear(now);
                    witnesses[w].onWithdrawn("e", "n" + i, now, now);
                } else if (steps.get(i) == Step.ASK
                        && witnesses[w].request("e", "n" + i, now, 0, now).isPresent()) {
                    votes.get(i).onGranted(WITNESSES.get(w), now);
                }
            }
            withdrawals += steps.contains(Step.WITHDRAW) ? 1 : 0;
            for (int i = 0; i < 3; i++) {
                if (now - votes.get(i).majorityNanos(WITNESSES) < nanos(500)) {
                    winners.add(i);
                }
            }
        }
        then(withdrawals).isPositive();
        then(winners).containsExactly(0);
    }
}
