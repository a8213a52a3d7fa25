package org.fescuehollow.suspects;

import static org.assertj.core.api.BDDAssertions.then;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehollow.dispatch.PromptSegment;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {
    private static Set<Long> traits(String target, String body, String... parts) {
        List<PromptSegment> prompt = Stream.of(parts).map(id -> new PromptSegment(id, 10)).toList();
        return RequestTraits.of(target, prompt, body.getBytes(StandardCharsets.UTF_8));
    }

    private static Set<Long> common(Set<Long> one, Set<Long> other) {
        Set<Long> common = new HashSet<>(one);
        common.retainAll(other);
        return common;
    }

    @Test
    void of_holdsEachPartExceptTheLastAndTheRequestItself() {
        then(traits("h/x", "", "a", "b", "own")).hasSize(3);
        then(traits("h/x", "", "own")).hasSize(1);
        then(traits("h/x", "")).hasSize(1);
    }

    @Test
    void of_requestsThatDifferInTheLastPartShareTheOthers() {
        then(common(traits("h/x", "", "a", "b", "own"), traits("h/y", "", "a", "b", "other")))
                .hasSize(2);
    }

    @Test
    void of_requestsThatDifferInTargetOrBodyShareNothing() {
        then(common(traits("h/x", "1"), traits("h/x", "2"))).isEmpty();
        then(common(traits("h/x", "1"), traits("h/y", "1"))).isEmpty();
        then(traits("h/x", "1")).isEqualTo(traits("h/x", "1"));
    }
}
