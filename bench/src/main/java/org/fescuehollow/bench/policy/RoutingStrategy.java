package org.fescuehollow.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EvictionPolicy;

/**
 * Strategies that choose the engine of a request, each with its eviction policy.
 *
 * <p>Immutable and safe for use by any thread; the caller supplies the random numbers.
 */
public enum RoutingStrategy {
    /** A random reachable engine. */
    RANDOM(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext context) {
            return List.of(
                    context.reachable().get(context.random().nextInt(context.reachable().size())));
        }
    },
    /** The engine with the fewest requests. */
    LEAST_LOADED(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext context) {
            return List.of(
                    context.reachable().stream()
                            .min(Comparator.comparingInt(context.load()::applyAsInt))
                            .orElseThrow());
        }
    },
    /** The first-ranked engine of the adapter by hashing, regardless of its load. */
    HASHED(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext context) {
            return context.ranked().subList(0, 1);
        }
    },
    /**
     * This project's strategy: the ranked engines in order, each of which may decline; the first is
     * tried again last.
     */
    FESCUEHOLLOW(EvictionPolicy.LEAST_FREQUENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext context) {
            return context.ranked();
        }
    };

    private final EvictionPolicy mEviction;

    RoutingStrategy(EvictionPolicy eviction) {
        mEviction = eviction;
    }

    /**
     * Input of a routing decision.
     *
     * @param reachable reachable engines
     * @param ranked engines ranked for the adapter
     * @param load open requests of an engine
     * @param random source of random numbers
     */
    record RoutingContext(
            List<Vm> reachable,
            List<Vm> ranked,
            ToIntFunction<Vm> load,
            UniformRandomProvider random) {}

    abstract List<Vm> candidates(RoutingContext choice);

    EvictionPolicy eviction() {
        return mEviction;
    }
}
