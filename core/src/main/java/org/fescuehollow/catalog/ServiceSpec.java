package org.fescuehollow.catalog;

import java.util.Optional;

/**
 * A named group of backend servers.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the service's name
 * @param maxConnections the connections that one server accepts from all clients
 * @param engineSpec the capacity of its engines; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engineSpec) {}
