package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * One published rule that marks calls which must run at most once.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param target the adapter's name or the plain service's name
 * @param methods HTTP methods the rule holds for; empty for all
 * @param pathPrefix start of the path the rule holds for
 */
public record NeverRepeatRule(String target, Set<String> methods, String pathPrefix) {
    /** Creates the rule from a copy of the methods. */
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
     * Tells whether the rule holds for a call.
     *
     * @param calledTarget the adapter's or service's name
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
