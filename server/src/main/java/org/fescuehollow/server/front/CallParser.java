package org.fescuehollow.server.front;

import static org.fescuehollow.error.ShouldBeAllowedTarget.shouldBeAllowedTarget;
import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;
import static org.fescuehollow.error.ShouldHaveKnownApiKey.shouldHaveKnownApiKey;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.Set;
import java.util.stream.StreamSupport;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.settings.KeyHash;
import org.fescuehollow.settings.SettingsView;
import org.fescuehollow.settings.TeamAccess;
import org.fescuehollow.settings.TeamTraffic;

/**
 * Checks a caller's request against the published settings and completes it to a {@link Call}.
 *
 * <p>Invariants: priority and weight come from the settings only; an adapter of another team and
 * one that doesn't exist give the same error. Immutable and safe for use by any thread.
 */
public final class CallParser {
    /** Header with the longest time in milliseconds that a caller waits for the start. */
    public static final String PATIENCE_HEADER = "X-Patience-Ms";

    /** Start of the paths of plain services. */
    public static final String SERVICES_PREFIX = "/services/";

    private static final String CHAT_PATH = "/chat/completions";

    private final SettingsView mSettings;

    /**
     * Creates a parser.
     *
     * @param settings the settings in force
     */
    public CallParser(SettingsView settings) {
        mSettings = settings;
    }

    /**
     * Finds the team of a request's key.
     *
     * @param request the request
     * @return the team's access
     * @throws FescuehollowException if the key is missing or unknown
     */
    public TeamAccess authenticate(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        return Optional.ofNullable(header)
                .filter(h -> h.regionMatches(true, 0, "Bearer ", 0, 7))
                .map(h -> h.substring(7).trim())
                .flatMap(key -> mSettings.findTeamByKeyHash(KeyHash.of(key)))
                .orElseThrow(() -> new FescuehollowException(shouldHaveKnownApiKey()));
    }

    /**
     * Reads a chat or text completion.
     *
     * @param request the request
     * @param id its id
     * @param access the caller's team
     * @param body the whole body
     * @return the call
     * @throws FescuehollowException if its form or target is wrong
     */
    public Call completion(HttpServerRequest request, String id, TeamAccess access, Buffer body) {
        ObjectNode tree = Json.read("body", body.getBytes());
        String model = Json.text("body", tree, "model");
        AdapterRef adapter =
                AdapterRef.parse(model)
                        .filter(a -> access.adapters().containsKey(a))
                        .orElseThrow(() -> unknown(model));
        JsonNode stream = tree.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw new FescuehollowException(
                    shouldBeWellFormed("body member 'stream'", "true or false", stream.toString()));
        }
        if (request.path().endsWith(CHAT_PATH)) {
            requireMessages(tree.path("messages"));
        }
        TeamTraffic traffic = mSettings.traffic(access.team());
        tree.put("priority", traffic.priority().engineValue());
        String method = request.method().name();
        return new Call(
                id,
                access.team(),
                traffic.weight(),
                traffic.priority(),
                access.adapters().get(adapter),
                Optional.of(adapter),
                method,
                request.path(),
                "application/json",
                RequestIds.traceParent(request),
                Json.write(tree),
                stream.asBoolean(false),
                !traffic.mustNotRepeat(adapter.name(), method, request.path()),
                patience(request, traffic.priority()),
                0);
    }

    /** Engines take other forms for granted and answer them late or not at all. */
    private static void requireMessages(JsonNode messages) {
        boolean listed = messages.isArray() && !messages.isEmpty();
        boolean valid =
                listed
                        && StreamSupport.stream(messages.spliterator(), false)
                                .allMatch(JsonNode::isObject);
        if (!valid) {
            throw new FescuehollowException(
                    shouldBeWellFormed(
                            "body member 'messages'",
                            "a list of one message or more",
                            messages.isMissingNode() ? "nothing" : messages.toString()));
        }
    }

    /**
     * Reads a call to a plain service.
     *
     * @param request the request; its path is {@code /services/NAME/...}
     * @param id its id
     * @param access the caller's team
     * @param body the whole body
     * @return the call
     * @throws FescuehollowException if the service isn't one of the team's
     */
    public Call plain(HttpServerRequest request, String id, TeamAccess access, Buffer body) {
        String rest = request.uri().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        boolean isPlain = mSettings.service(service).filter(s -> !s.servesModel()).isPresent();
        if (!access.services().contains(service) || !isPlain) {
            throw unknown(service);
        }
        TeamTraffic traffic = mSettings.traffic(access.team());
        String method = request.method().name();
        boolean idempotent = isIdempotent(request.method());
        String type = request.getHeader("Content-Type");
        return new Call(
                id,
                access.team(),
                traffic.weight(),
                traffic.priority(),
                service,
                Optional.empty(),
                method,
                path,
                type == null ? "" : type,
                RequestIds.traceParent(request),
                body,
                false,
                idempotent && !traffic.mustNotRepeat(service, method, path),
                patience(request, traffic.priority()),
                0);
    }

    /** Source: RFC 9110, section 9.2.2. */
    private static boolean isIdempotent(HttpMethod method) {
        return Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE").contains(method.name());
    }

    private static FescuehollowException unknown(String name) {
        return new FescuehollowException(shouldBeAllowedTarget(name));
    }

    private static long patience(HttpServerRequest request, Priority priority) {
        String given = request.getHeader(PATIENCE_HEADER);
        if (given == null) {
            return priority.startTimeoutMillis();
        }
        try {
            long millis = Long.parseLong(given.trim());
            if (millis > 0) {
                return Math.min(millis, priority.startTimeoutMillis());
            }
        } catch (NumberFormatException e) {
            throw wrongPatience(given);
        }
        throw wrongPatience(given);
    }

    private static FescuehollowException wrongPatience(String given) {
        return new FescuehollowException(
                shouldBeWellFormed(
                        "header " + PATIENCE_HEADER, "a positive number of milliseconds", given));
    }
}
