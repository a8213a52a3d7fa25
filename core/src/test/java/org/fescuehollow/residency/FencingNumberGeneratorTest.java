package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class FencingNumberGeneratorTest {
    @Test
    void next_isHigherThanAllObserved() {
        FencingNumberGenerator generator = new FencingNumberGenerator("node-1");
        generator.observe(9_000_000);
        then(generator.next(1_000)).isGreaterThan(9_000_000);
    }

    @Test
    void next_increasesWhenTheClockStepsBack() {
        FencingNumberGenerator generator = new FencingNumberGenerator("node-1");
        long first = generator.next(5_000);
        then(generator.next(1_000)).isGreaterThan(first);
    }

    @Test
    void next_differsBetweenNodes() {
        then(new FencingNumberGenerator("node-1").next(5_000))
                .isNotEqualTo(new FencingNumberGenerator("node-2").next(5_000));
    }
}
