package org.fescuehollow.placement;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EngineCoordinatorPropertyTest {
    /** Each step is a number that selects an event and its parameters. */
    @Property(tries = 400, seed = "20261204")
    void orders_holdInvariantsForAnyEventSequence(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 9_999) Integer> steps) {
        // GIVEN
        FakeEngine engine = new FakeEngine(3, 4);
        // WHEN
        steps.forEach(engine::step);
        engine.completeAll();
        // THEN
        then(engine.violations()).isEmpty();
        then(engine.unanswered()).isEmpty();
    }

    @Test
    void fakeEngine_detectsUnloadOfAnAdapterInUse() {
        // GIVEN
        FakeEngine engine = new FakeEngine(3, 4);
        engine.step(20);
        engine.completeLoads();
        // WHEN
        engine.execute(List.of(new Order.Unload(engine.runningAdapter(), 0)));
        // THEN
        then(engine.violations()).isNotEmpty();
    }
}
