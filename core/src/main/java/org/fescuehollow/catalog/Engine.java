package org.fescuehollow.catalog;

import java.util.Map;
import java.util.Set;

/**
 * One incarnation of a backend server as it announced itself.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id the id; a later incarnation may reuse it
 * @param startedMillis the Unix time of its start, which distinguishes incarnations; 0 if unknown
 * @param service the service it belongs to
 * @param softwareVersion the version of its software, which has no order; empty if its entry names
 *     none
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots requests that it runs concurrently
 * @param draining true if it accepts no new requests
 * @param orderCount the number of orders that it had accepted
 * @param models the loaded base models
 * @param adapters the loaded adapters with their versions
 */
public record Engine(
        String id,
        long startedMillis,
        String service,
        String softwareVersion,
        String host,
        int port,
        String domain,
        int slots,
        boolean draining,
        long orderCount,
        Set<String> models,
        Map<AdapterKey, Long> adapters) {
    /** Copies the collections. */
    public Engine {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /**
     * Returns whether another entry describes the same incarnation of the same server.
     *
     * @param other the other entry
     * @return false after a restart
     */
    public boolean isSameIncarnation(Engine other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }

    /**
     * Returns this engine as one that accepts no new requests.
     *
     * @return the draining engine
     */
    public Engine asDraining() {
        return withDraining(true);
    }

    /**
     * Returns this engine as it was before it began to drain.
     *
     * @return the engine that accepts new requests
     */
    public Engine asReady() {
        return withDraining(false);
    }

    private Engine withDraining(boolean drains) {
        return new Engine(
                id,
                startedMillis,
                service,
                softwareVersion,
                host,
                port,
                domain,
                slots,
                drains,
                orderCount,
                models,
                adapters);
    }
}
