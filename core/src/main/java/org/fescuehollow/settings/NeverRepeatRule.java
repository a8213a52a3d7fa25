package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * A published rule that selects calls which must run at most once.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param target the name of the adapter or of the plain service
 * @param methods the HTTP methods that the rule applies to; empty for all
 * @param pathPrefix the prefix of the paths that the rule applies to
 */
public record NeverRepeatRule(String target, Set<String> methods, String pathPrefix) {
    /** Creates the rule with a copy of the methods. */
    public NeverRepeatRule {
        methods = Set.copyOf(methods);
    }

    static NeverRepeatRule from(JsonNode tree) {
        Set<String> methods = new TreeSet<>();
        tree.path("methods").forEach(m -> methods.add(m.asText().toUpperCase(Locale.ROOT)));
        String target =
                tree.has("adapter") ? tree.path("adapter").asText() : tree.path("service").asText();
        return new NeverRepeatRule(target, methods, tree.path("path_prefix").asText("/"));
    }

    /**
     * Returns whether the rule applies to a call.
     *
     * @param calledTarget the name of the called adapter or service
     * @param method the HTTP method
     * @param path the path below the service
     * @return true if the call must run at most once
     */
    public boolean matches(String calledTarget, String method, String path) {
        return target.equals(calledTarget)
                && (methods.isEmpty() || methods.contains(method))
                && path.startsWith(pathPrefix);
    }
}
