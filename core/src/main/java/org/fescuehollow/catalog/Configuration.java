package org.fescuehollow.catalog;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration that operators publish.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class Configuration {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, ServiceSpec> mServices;
    private final ClientLimits mClientLimits;

    /**
     * Creates a configuration.
     *
     * @param version its version; a higher one replaces a lower one
     * @param routes the routes in any order
     * @param services the services by name
     * @param limits limits on client connections and requests
     */
    public Configuration(
            long version,
            List<Route> routes,
            Map<String, ServiceSpec> services,
            ClientLimits limits) {
        mVersion = version;
        mRoutesByHost =
                routes.stream()
                        .sorted(Comparator.comparingInt(r -> -r.pathPrefix().length()))
                        .collect(Collectors.groupingBy(Route::host));
        mServices = Map.copyOf(services);
        mClientLimits = limits;
    }

    /**
     * Finds the route of a request: the host's route with the longest matching path prefix.
     *
     * @param host the host that the client named
     * @param path the path without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(r -> path.startsWith(r.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the version.
     *
     * @return the version; it increases with each change
     */
    public long version() {
        return mVersion;
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty if there is none
     */
    public Optional<ServiceSpec> findService(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the limits on client connections and requests.
     *
     * @return the limits
     */
    public ClientLimits clientLimits() {
        return mClientLimits;
    }

    /**
     * Returns the number of routes.
     *
     * @return the number over all hosts
     */
    public int routeCount() {
        return mRoutesByHost.values().stream().mapToInt(List::size).sum();
    }
}
