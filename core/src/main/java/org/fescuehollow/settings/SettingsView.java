package org.fescuehollow.settings;

import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A snapshot of the settings in force, indexed for lookups.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class SettingsView {
    /** The view of a node that has received no settings yet. */
    public static final SettingsView EMPTY =
            new SettingsView(Map.of(), Map.of(), Map.of(), StorePolicy.DEFAULT, Map.of());

    private final Map<String, TeamAccess> mAccess;
    private final Map<String, TeamTraffic> mTraffic;
    private final Map<String, ServicePolicy> mServices;
    private final StorePolicy mStore;
    private final Map<String, String> mTeamByKeyHash;

    SettingsView(
            Map<String, TeamAccess> access,
            Map<String, TeamTraffic> traffic,
            Map<String, ServicePolicy> services,
            StorePolicy store,
            Map<String, String> teamByKeyHash) {
        mAccess = access;
        mTraffic = traffic;
        mServices = services;
        mStore = store;
        mTeamByKeyHash = teamByKeyHash;
    }

    /**
     * Returns the team to which an API key belongs.
     *
     * @param keyHash SHA-256 of the key, as lower-case hex
     * @return the team's access, or empty if no team has published the hash
     */
    public Optional<TeamAccess> findTeamByKeyHash(String keyHash) {
        return Optional.ofNullable(mTeamByKeyHash.get(keyHash))
                .map(mAccess::get)
                .filter(a -> a.keyHashes().stream().anyMatch(h -> KeyHash.areEqual(h, keyHash)));
    }

    /**
     * Returns the access of a team.
     *
     * @param team the team
     * @return the access, or empty if none is published
     */
    public Optional<TeamAccess> access(String team) {
        return Optional.ofNullable(mAccess.get(team));
    }

    /**
     * Returns a team's priority, weight and never-repeat rules.
     *
     * @param team the team
     * @return the published settings, or the default
     */
    public TeamTraffic traffic(String team) {
        return mTraffic.getOrDefault(team, TeamTraffic.DEFAULT);
    }

    /**
     * Returns a service's policy.
     *
     * @param service the service
     * @return the policy, or empty if none is published
     */
    public Optional<ServicePolicy> service(String service) {
        return Optional.ofNullable(mServices.get(service));
    }

    /**
     * Returns the weight store's limits.
     *
     * @return the policy
     */
    public StorePolicy store() {
        return mStore;
    }

    /**
     * Returns the names of all published services.
     *
     * @return sorted names
     */
    public SortedSet<String> services() {
        return new TreeSet<>(mServices.keySet());
    }

    /**
     * Returns the names of all teams with a published access.
     *
     * @return sorted names
     */
    public SortedSet<String> teams() {
        return new TreeSet<>(mAccess.keySet());
    }
}
