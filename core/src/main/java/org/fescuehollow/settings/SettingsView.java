package org.fescuehollow.settings;

import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The settings in force at one moment, ready for look-ups.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class SettingsView {
    /** The view of a node that knows nothing yet. */
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
     * Finds the team of a key.
     *
     * @param keyHash SHA-256 of the key, as lower-case hex
     * @return the team's access, if a team has published the hash
     */
    public Optional<TeamAccess> findTeamByKeyHash(String keyHash) {
        return Optional.ofNullable(mTeamByKeyHash.get(keyHash))
                .map(mAccess::get)
                .filter(a -> a.keyHashes().stream().anyMatch(h -> KeyHash.areEqual(h, keyHash)));
    }

    /**
     * Returns what a team may call.
     *
     * @param team the team
     * @return its access, if published
     */
    public Optional<TeamAccess> access(String team) {
        return Optional.ofNullable(mAccess.get(team));
    }

    /**
     * Returns a team's priority, weight and rules.
     *
     * @param team the team
     * @return what is published, or the default
     */
    public TeamTraffic traffic(String team) {
        return mTraffic.getOrDefault(team, TeamTraffic.DEFAULT);
    }

    /**
     * Returns a service's policy.
     *
     * @param service the service
     * @return the policy, if published
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
     * Returns the names of all services.
     *
     * @return sorted names
     */
    public SortedSet<String> services() {
        return new TreeSet<>(mServices.keySet());
    }

    /**
     * Returns the names of all teams that may call something.
     *
     * @return sorted names
     */
    public SortedSet<String> teams() {
        return new TreeSet<>(mAccess.keySet());
    }
}
