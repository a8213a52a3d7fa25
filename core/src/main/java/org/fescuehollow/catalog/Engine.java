package org.fescuehollow.catalog;

import java.util.Map;
import java.util.Set;

/**
 * One life of a backend server as it announced itself.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id its id; may be used again by a later life
 * @param startedMillis the Unix time of its start, which tells lives apart; 0 if unknown
 * @param service the service it belongs to
 * @param host its IP number
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots requests that it runs at once
 * @param draining true if it takes no new work
 * @param orderCount the orders that it had accepted
 * @param models the base models it holds
 * @param adapters the adapters it holds, with their versions
 */
public record Engine(
        String id,
        long startedMillis,
        String service,
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
     * Tells whether another entry describes the same life of the same server.
     *
     * @param other the other entry
     * @return false after a restart
     */
    public boolean isSameIncarnation(Engine other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }
}
