package org.fescuehollow.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The kinds of paths under which operators publish settings. Each kind has its own schema.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum SettingsPath {
    /** The API keys of a team, and the adapters, versions and services that it may call. */
    TEAM_ACCESS("teams/[a-z0-9][a-z0-9-]*/access", "team-access"),
    /** The priority, weight and never-repeat rules of a team. */
    TEAM_TRAFFIC("teams/[a-z0-9][a-z0-9-]*/traffic", "team-traffic"),
    /** The kind of a service and the limits of its backend servers. */
    SERVICE("services/[a-z0-9][a-z0-9-]*", "service"),
    /** The weight store's limits. */
    STORE("store", "store");

    private final Pattern mPattern;
    private final String mSchema;

    SettingsPath(String pattern, String schema) {
        mPattern = Pattern.compile(pattern);
        mSchema = schema;
    }

    /**
     * Returns the kind of a path.
     *
     * @param path a path without a leading slash
     * @return the kind, or empty if the path matches none
     */
    public static Optional<SettingsPath> of(String path) {
        return Arrays.stream(values()).filter(p -> p.mPattern.matcher(path).matches()).findFirst();
    }

    /**
     * Returns the name of the schema resource.
     *
     * @return a resource name without directory and extension
     */
    public String schema() {
        return mSchema;
    }

    /**
     * Returns the name of the team or service in a path.
     *
     * @param path a path of this kind
     * @return the second part of the path, or the path itself if it has only one part
     */
    public String subject(String path) {
        String[] parts = path.split("/");
        return parts.length > 1 ? parts[1] : path;
    }
}
