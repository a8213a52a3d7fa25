package org.fescuehollow.server.admin;

import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;

import io.vertx.core.http.HttpServerRequest;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiFunction;
import org.fescuehollow.error.FescuehollowException;

/**
 * The paths of the administration API, each with what it answers.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum AdminRoute {
    /** One screen of figures. */
    STATUS("/v1/status", (view, request) -> view.status()),
    /** Teams and what each may call, with revisions. */
    TEAMS("/v1/teams", (view, request) -> view.teams()),
    /** Each path's revisions, and why its newest value is refused. */
    SETTINGS("/v1/settings", (view, request) -> view.section("settings")),
    /** Backend servers and who coordinates them. */
    FLEET("/v1/fleet", (view, request) -> view.section("fleet")),
    /** The servers coordinated by this node: adapters, pins, queue, batch. */
    ENGINES("/v1/engines", (view, request) -> view.section("coordination")),
    /** Entry nodes as this node sees them. */
    NODES("/v1/nodes", (view, request) -> view.section("membership")),
    /** This node's permits to load. */
    BUDGET("/v1/budget", (view, request) -> view.section("budget")),
    /** Ledgers of tickets that this node answers for. */
    TICKETS("/v1/tickets", (view, request) -> view.section("idempotency")),
    /** Requests suspected of crashing engines. */
    CRASHES("/v1/crashes", (view, request) -> view.section("suspects")),
    /** Why a request goes where it goes; parameters {@code team} and {@code model}. */
    EXPLAIN(
            "/v1/explain",
            (view, request) ->
                    view.explain(parameter(request, "team"), parameter(request, "model")));

    private final String mPath;
    private final BiFunction<AdminView, HttpServerRequest, Object> mAnswer;

    AdminRoute(String path, BiFunction<AdminView, HttpServerRequest, Object> answer) {
        mPath = path;
        mAnswer = answer;
    }

    /**
     * Finds the route of a path.
     *
     * @param path the request's path
     * @return the route, if there is one
     */
    public static Optional<AdminRoute> of(String path) {
        return Arrays.stream(values()).filter(r -> r.mPath.equals(path)).findFirst();
    }

    /**
     * Returns the path.
     *
     * @return begins with a slash
     */
    public String path() {
        return mPath;
    }

    Object answer(AdminView view, HttpServerRequest request) {
        return mAnswer.apply(view, request);
    }

    private static String parameter(HttpServerRequest request, String name) {
        String value = request.getParam(name);
        if (value == null || value.isBlank()) {
            throw new FescuehollowException(
                    shouldBeWellFormed("parameter '" + name + "'", "a text", "nothing"));
        }
        return value;
    }
}
