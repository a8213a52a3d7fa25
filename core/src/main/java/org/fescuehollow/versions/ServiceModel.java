package org.fescuehollow.versions;

import java.util.HashSet;
import java.util.Set;
import org.fescuehollow.catalog.Engine;

/**
 * A base model that engines of a service have loaded; the versions of its streams are chosen
 * together.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param model the base model; empty for all engines of the service
 */
public record ServiceModel(String service, String model) {
    /**
     * Returns what an engine can serve.
     *
     * @param engine the engine
     * @return one for each of its base models, and one for its service
     */
    public static Set<ServiceModel> of(Engine engine) {
        Set<ServiceModel> all = new HashSet<>();
        all.add(new ServiceModel(engine.service(), ""));
        engine.models().forEach(m -> all.add(new ServiceModel(engine.service(), m)));
        return all;
    }

    /**
     * Returns whether new streams may begin at an engine.
     *
     * @param engine the engine
     * @return true if it isn't draining, belongs to the service and has the model loaded
     */
    public boolean isServedBy(Engine engine) {
        return !engine.draining()
                && engine.service().equals(service)
                && (model.isEmpty() || engine.models().contains(model));
    }
}
