package org.fescuehollow.versions;

import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;

/**
 * What of an engine's entry decides which streams begin there; heartbeats don't change it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param startedMillis the Unix time of the engine's start
 * @param service its service
 * @param version its software version
 * @param draining whether it accepts no new requests
 * @param models its base models
 */
record Serving(
        long startedMillis, String service, String version, boolean draining, Set<String> models) {
    static Serving of(Engine e) {
        return new Serving(
                e.startedMillis(), e.service(), e.softwareVersion(), e.draining(), e.models());
    }

    static boolean isSame(Optional<Engine> a, Optional<Engine> b) {
        return a.map(Serving::of).equals(b.map(Serving::of));
    }
}
