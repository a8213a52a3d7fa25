package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.fescuehollow.hashing.Rendezvous;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimantTableTest {
    private static final int DOMAINS = 5;
    private static final int ENGINES = 100;

    private final AtomicLong mWeights = new AtomicLong();
    private final ClaimantTable mTable =
            new ClaimantTable(
                    (key, node) -> {
                        mWeights.incrementAndGet();
                        return Rendezvous.weight(key, node);
                    });

    private static Peer peer(int i) {
        return new Peer("n" + i, domain(i), "10.0.0." + i);
    }

    private static String domain(int i) {
        return "d" + i % DOMAINS;
    }

    private static List<Peer> claimants(ClaimantTable table, int engine) {
        return table.claimants("e" + engine, domain(engine));
    }

    /**
     * Replays the start of a fleet: a node learns of the others one by one and looks up the
     * claimants of all engines after each.
     */
    @ParameterizedTest
    @ValueSource(ints = {9, 75, 300})
    void claimants_rankEachPairOnceWhileNodesAreDiscovered(int nodes) {
        for (int i = 0; i < nodes; i++) {
            mTable.add(peer(i));
            IntStream.range(0, ENGINES).forEach(e -> claimants(mTable, e));
        }
        then(mWeights.get()).isEqualTo((long) nodes * ENGINES);
    }

    @Test
    void claimants_rankOnlyEnginesThatLoseAClaimant() {
        IntStream.range(0, 75).forEach(i -> mTable.add(peer(i)));
        long concerned =
                IntStream.range(0, ENGINES)
                        .filter(e -> claimants(mTable, e).contains(peer(7)))
                        .count();
        long before = mWeights.get();
        mTable.remove(peer(7));
        IntStream.range(0, ENGINES).forEach(e -> claimants(mTable, e));
        then(concerned).isBetween(1L, (long) ENGINES - 1);
        then(mWeights.get() - before).isEqualTo(concerned * 74);
    }

    @Test
    void claimants_dontDependOnTheOrderOfChanges() {
        List<Peer> peers = new ArrayList<>(IntStream.range(0, 40).mapToObj(i -> peer(i)).toList());
        ClaimantTable expected = new ClaimantTable();
        peers.subList(0, 30).forEach(expected::add);
        for (int seed = 0; seed < 20; seed++) {
            ClaimantTable table = new ClaimantTable();
            Collections.shuffle(peers, new Random(seed));
            for (Peer p : peers) {
                table.add(p);
                IntStream.range(0, ENGINES).forEach(e -> claimants(table, e));
            }
            IntStream.range(30, 40).forEach(i -> table.remove(peer(i)));
            for (int e = 0; e < ENGINES; e++) {
                then(claimants(table, e)).isEqualTo(claimants(expected, e));
            }
        }
    }

    @Test
    void claimants_areOfTheEnginesDomainFirst() {
        IntStream.range(0, 20).forEach(i -> mTable.add(peer(i)));
        then(claimants(mTable, 3)).hasSize(3).allMatch(p -> p.domain().equals(domain(3)));
    }

    @Test
    void add_replacesANodeThatMovedToAnotherDomain() {
        mTable.add(peer(1));
        mTable.claimants("e", "d2");
        Peer moved = new Peer("n1", "d2", "10.0.0.1");
        mTable.add(moved);
        then(mTable.claimants("e", "d2")).containsExactly(moved);
    }
}
