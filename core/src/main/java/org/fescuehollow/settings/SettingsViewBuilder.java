package org.fescuehollow.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the values in force and builds views of them.
 *
 * <p>Invariant: later values don't change a view that was built before. Not safe for concurrent
 * use.
 */
final class SettingsViewBuilder {
    private final Map<String, TeamAccess> mAccess = new HashMap<>();
    private final Map<String, TeamTraffic> mTraffic = new HashMap<>();
    private final Map<String, ServicePolicy> mServices = new HashMap<>();
    private final Map<String, String> mTeamByKeyHash = new HashMap<>();
    private StorePolicy mStore = StorePolicy.DEFAULT;
    private Optional<SettingsView> mView = Optional.of(SettingsView.EMPTY);

    /** Puts a path's value in force, or removes the path's value if it is empty. */
    void apply(String path, Optional<Object> value) {
        mView = Optional.empty();
        SettingsPath kind = SettingsPath.of(path).orElseThrow();
        String subject = kind.subject(path);
        switch (kind) {
            case TEAM_ACCESS -> replaceAccess(subject, value.map(TeamAccess.class::cast));
            case TEAM_TRAFFIC -> replace(mTraffic, subject, value.map(TeamTraffic.class::cast));
            case SERVICE -> replace(mServices, subject, value.map(ServicePolicy.class::cast));
            case STORE -> mStore = value.map(StorePolicy.class::cast).orElse(StorePolicy.DEFAULT);
            default -> throw new IllegalStateException("expected a known kind of path");
        }
    }

    private void replaceAccess(String team, Optional<TeamAccess> access) {
        TeamAccess old = mAccess.get(team);
        if (old != null) {
            old.keyHashes().forEach(h -> mTeamByKeyHash.remove(h, team));
        }
        replace(mAccess, team, access);
        access.ifPresent(a -> a.keyHashes().forEach(h -> mTeamByKeyHash.put(h, team)));
    }

    private static <T> void replace(Map<String, T> map, String key, Optional<T> value) {
        value.ifPresentOrElse(v -> map.put(key, v), () -> map.remove(key));
    }

    SettingsView view() {
        if (mView.isEmpty()) {
            mView =
                    Optional.of(
                            new SettingsView(
                                    new HashMap<>(mAccess),
                                    new HashMap<>(mTraffic),
                                    new HashMap<>(mServices),
                                    mStore,
                                    new HashMap<>(mTeamByKeyHash)));
        }
        return mView.get();
    }
}
