package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class FencingNumberGeneratorTest {
    @Test
    void next_isHigherThanAllObserved() {
        FencingNumberGenerator fence = new FencingNumberGenerator("node-1");
        fence.observe(9_000_000);
        then(fence.next(1_000)).isGreaterThan(9_000_000);
    }

    @Test
    void next_increasesWhenTheClockStepsBack() {
        FencingNumberGenerator fence = new FencingNumberGenerator("node-1");
        long first = fence.next(5_000);
        then(fence.next(1_000)).isGreaterThan(first);
    }

    @Test
    void next_differsBetweenNodes() {
        then(new FencingNumberGenerator("node-1").next(5_000))
                .isNotEqualTo(new FencingNumberGenerator("node-2").next(5_000));
    }
}
