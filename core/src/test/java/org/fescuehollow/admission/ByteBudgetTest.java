package org.fescuehollow.admission;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    @Test
    void tryTake_takesNothingBeyondTheLimit() {
        ByteBudget budget = new ByteBudget(10);
        then(budget.tryTake(6)).isTrue();
        then(budget.tryTake(5)).isFalse();
        then(budget.tryTake(4)).isTrue();
        then(budget.tryTake(1)).isFalse();
    }

    @Test
    void release_allowsOthersToTake() {
        ByteBudget budget = new ByteBudget(10);
        budget.tryTake(10);
        budget.release(3);
        then(budget.tryTake(4)).isFalse();
        then(budget.tryTake(3)).isTrue();
    }
}
