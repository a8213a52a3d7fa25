package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.fescuehollow.model.Priority;

/**
 * Priority, weight and never-repeat rules of a team.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param priority the class of the team's traffic
 * @param weight the team's share within its class, relative to the other teams'
 * @param rules calls that must run at most once
 */
public record TeamTraffic(Priority priority, int weight, List<NeverRepeatRule> rules) {
    /** What holds for a team that has published nothing. */
    public static final TeamTraffic DEFAULT = new TeamTraffic(Priority.STANDARD, 1, List.of());

    /** Creates the traffic settings from a copy of the rules. */
    public TeamTraffic {
        rules = List.copyOf(rules);
    }

    static TeamTraffic from(JsonNode tree) {
        List<NeverRepeatRule> rules = new ArrayList<>();
        tree.path("never_repeat").forEach(r -> rules.add(NeverRepeatRule.from(r)));
        return new TeamTraffic(
                Priority.parse(tree.path("priority").asText("standard")),
                tree.path("weight").asInt(1),
                rules);
    }

    /**
     * Tells whether a call must run at most once.
     *
     * @param target the adapter's or service's name
     * @param method the HTTP method
     * @param path the path below the service
     * @return true if a rule matches
     */
    public boolean mustNotRepeat(String target, String method, String path) {
        return rules.stream().anyMatch(r -> r.matches(target, method, path));
    }
}
