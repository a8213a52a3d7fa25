package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.fescuehollow.model.Priority;

/**
 * The priority, weight and never-repeat rules of a team.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param priority the priority class of the team's requests
 * @param weight the team's weight relative to other teams of the same class
 * @param rules the rules that select calls which must run at most once
 */
public record TeamTraffic(Priority priority, int weight, List<NeverRepeatRule> rules) {
    /** The settings of a team without published ones. */
    public static final TeamTraffic DEFAULT = new TeamTraffic(Priority.STANDARD, 1, List.of());

    /** Creates the settings with a copy of the rules. */
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
     * Returns whether a call must run at most once.
     *
     * @param target the name of the called adapter or service
     * @param method the HTTP method
     * @param path the path below the service
     * @return true if a rule matches
     */
    public boolean mustNotRepeat(String target, String method, String path) {
        return rules.stream().anyMatch(r -> r.matches(target, method, path));
    }
}
