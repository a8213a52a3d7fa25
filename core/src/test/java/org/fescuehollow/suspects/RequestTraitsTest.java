package org.fescuehollow.suspects;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehollow.dispatch.PromptSegment;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {
    private static List<PromptSegment> prompt(String... ids) {
        return Stream.of(ids).map(id -> new PromptSegment(id, 10)).toList();
    }

    @Test
    void of_leavesOutTheLastPart() {
        then(RequestTraits.of(prompt("a", "b", "own"))).hasSize(2);
        then(RequestTraits.of(prompt("a", "b", "own")))
                .isEqualTo(RequestTraits.of(prompt("a", "b", "other")));
    }

    @Test
    void of_aPromptWithoutSharedPartsIsEmpty() {
        then(RequestTraits.of(prompt("own"))).isEmpty();
        then(RequestTraits.of(prompt())).isEmpty();
    }
}
