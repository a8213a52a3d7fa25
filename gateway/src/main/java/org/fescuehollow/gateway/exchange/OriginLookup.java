package org.fescuehollow.gateway.exchange;

import io.vertx.core.Future;
import java.util.Optional;

/** Finds out from other nodes at which software version a stream began. */
public interface OriginLookup {
    /**
     * Finds the version of a stream.
     *
     * @param attemptId the id of the client attempt that brought its first event
     * @return completes soon and never fails; empty if no node that was asked knows a single
     *     version, or none replied in time
     */
    Future<Optional<String>> find(String attemptId);

    /**
     * Records at which version a stream began, and tells a few other nodes.
     *
     * @param attemptId the id of the client attempt that brought its first event
     * @param version the software version of the engine that sent it
     */
    void record(String attemptId, String version);
}
