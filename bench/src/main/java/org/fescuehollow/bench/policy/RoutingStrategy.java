package org.fescuehollow.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EvictionPolicy;

/**
 * Ways to choose the engine of a request.
 *
 * <p>Immutable and safe for use by any thread; the random numbers come from the caller.
 */
public enum RoutingStrategy {
    /** Any engine. */
    RANDOM(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext c) {
            return List.of(c.reachable().get(c.random().nextInt(c.reachable().size())));
        }
    },
    /** The engine with the fewest requests. */
    LEAST_LOADED(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext c) {
            return List.of(
                    c.reachable().stream()
                            .min(Comparator.comparingInt(c.load()::applyAsInt))
                            .orElseThrow());
        }
    },
    /** The adapter's first engine by hashing, whatever its load. */
    HASHED(EvictionPolicy.LEAST_RECENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext c) {
            return c.ranked().subList(0, 1);
        }
    },
    /** This project's: ranked engines that may decline, the first again in the end. */
    FESCUEHOLLOW(EvictionPolicy.LEAST_FREQUENTLY_USED) {
        @Override
        List<Vm> candidates(RoutingContext c) {
            return c.ranked();
        }
    };

    private final EvictionPolicy mEviction;

    RoutingStrategy(EvictionPolicy eviction) {
        mEviction = eviction;
    }

    /**
     * What a choice rests on.
     *
     * @param reachable engines that can be reached
     * @param ranked engines ranked for the adapter
     * @param load requests on an engine
     * @param random random numbers
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
