package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class OriginHoldersTest {
    private static List<String> nodes(int count) {
        return IntStream.range(0, count).mapToObj(i -> "node-" + i).toList();
    }

    /** The node where the stream began and the one that asks both leave themselves out. */
    @Property(tries = 200, seed = "47")
    void of_agreesOnTwoNodesWhoeverAsks(
            @ForAll String id,
            @ForAll @IntRange(min = 4, max = 300) int count,
            @ForAll @IntRange(max = 299) int first,
            @ForAll @IntRange(max = 299) int asking) {
        List<String> told = of(id, nodes(count), first % count);
        List<String> asked = of(id, nodes(count), asking % count);
        then(told).hasSize(3).doesNotHaveDuplicates();
        then(told.stream().filter(asked::contains).count()).isGreaterThanOrEqualTo(2);
    }

    private static List<String> of(String id, List<String> nodes, int self) {
        List<String> peers = new ArrayList<>(nodes);
        peers.remove(self);
        return OriginHolders.of(id, peers);
    }

    @Property(tries = 100, seed = "47")
    void of_keepsTheOthersWhenANodeIsLost(
            @ForAll String id, @ForAll @IntRange(min = 5, max = 300) int count) {
        List<String> peers = new ArrayList<>(nodes(count));
        List<String> before = OriginHolders.of(id, peers);
        peers.remove(before.get(0));
        Collections.shuffle(peers);
        then(OriginHolders.of(id, peers)).startsWith(before.get(1), before.get(2));
    }

    @Property(tries = 50, seed = "47")
    void of_returnsAllOfFewNodes(@ForAll String id, @ForAll @IntRange(max = 3) int count) {
        then(OriginHolders.of(id, nodes(count))).containsExactlyInAnyOrderElementsOf(nodes(count));
    }
}
