package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.model.AdapterRef;

/**
 * The API keys of a team, and the adapters and services that it may call.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team the team
 * @param keyHashes the SHA-256 of each key, as lower-case hex
 * @param adapters the adapter versions that the team may call, each with its service
 * @param services the plain services it may call
 */
public record TeamAccess(
        String team,
        List<String> keyHashes,
        SortedMap<AdapterRef, String> adapters,
        Set<String> services) {
    /** Creates the access with copies. */
    public TeamAccess {
        keyHashes = List.copyOf(keyHashes);
        adapters = Collections.unmodifiableSortedMap(new TreeMap<>(adapters));
        services = Set.copyOf(services);
    }

    static TeamAccess from(String team, JsonNode tree) {
        List<String> keys = new ArrayList<>();
        tree.path("keys").forEach(k -> keys.add(k.asText().toLowerCase(Locale.ROOT)));
        SortedMap<AdapterRef, String> adapters = new TreeMap<>();
        tree.path("adapters")
                .forEach(
                        a ->
                                a.path("versions")
                                        .forEach(
                                                v ->
                                                        adapters.put(
                                                                new AdapterRef(
                                                                        a.path("name").asText(),
                                                                        v.asText()),
                                                                a.path("service").asText())));
        Set<String> services = new TreeSet<>();
        tree.path("services").forEach(s -> services.add(s.asText()));
        return new TeamAccess(team, keys, adapters, services);
    }
}
