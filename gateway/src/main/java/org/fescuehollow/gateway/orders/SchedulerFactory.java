package org.fescuehollow.gateway.orders;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.catalog.EngineState;
import org.fescuehollow.residency.AdapterScheduler;

/** Creates the schedulers of engines that this node has begun to hold. Stateless. */
final class SchedulerFactory {
    private SchedulerFactory() {}

    static AdapterScheduler create(EngineSpec spec, String engine, EngineState state) {
        // Selected by engine id, so that engines that restart empty spread over the models.
        List<String> models = spec.modelLoadMillis().keySet().stream().sorted().toList();
        int i = models.isEmpty() ? 0 : Math.floorMod(engine.hashCode(), models.size());
        Optional<String> model = models.isEmpty() ? Optional.empty() : Optional.of(models.get(i));
        return new AdapterScheduler(spec.adapterSlots(), model, state);
    }

    /** Returns the state of an engine that has just restarted. */
    static EngineState emptyState(Engine e) {
        return new EngineState(e.startedMillis(), 0, 0, 0, 0, e.models(), Map.of(), Map.of());
    }
}
