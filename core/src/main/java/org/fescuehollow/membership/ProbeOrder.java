package org.fescuehollow.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import org.fescuehollow.hashing.Rendezvous;

/**
 * Iterates over names in rounds: each name once per round, in an order shuffled for each round.
 *
 * <p>Invariant: while the names stay the same, a name is returned again after fewer than twice as
 * many calls as there are names. Not safe for concurrent use.
 */
final class ProbeOrder {
    private final long mSeed;
    private final Deque<String> mRemaining = new ArrayDeque<>();
    private long mRound;

    ProbeOrder(long seed) {
        mSeed = seed;
    }

    Optional<String> next(Collection<String> names) {
        while (true) {
            if (mRemaining.isEmpty() && !refill(names)) {
                return Optional.empty();
            }
            String name = mRemaining.poll();
            if (names.contains(name)) {
                return Optional.of(name);
            }
        }
    }

    private boolean refill(Collection<String> names) {
        long round = mSeed + mRound++;
        names.stream()
                .sorted(Comparator.comparingLong(n -> Rendezvous.weight(round, Rendezvous.hash(n))))
                .forEach(mRemaining::add);
        return !mRemaining.isEmpty();
    }
}
