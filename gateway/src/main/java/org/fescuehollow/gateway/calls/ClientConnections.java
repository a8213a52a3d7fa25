package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open connections of clients, and the request that each of them serves.
 *
 * <p>Invariants: no request begins on a connection after a response that announced its close; the
 * end of a response ends its own request only, as the next one may have begun before. Not
 * thread-safe; used on the node's event loop.
 */
final class ClientConnections {
    private final Set<HttpConnection> mOpen = newSet();
    private final Set<HttpConnection> mClosing = newSet();
    private final Map<HttpConnection, HttpServerRequest> mRequests = new IdentityHashMap<>();

    private static Set<HttpConnection> newSet() {
        return Collections.newSetFromMap(new IdentityHashMap<>());
    }

    void onOpened(HttpConnection connection) {
        mOpen.add(connection);
    }

    void onClosed(HttpConnection connection) {
        mOpen.remove(connection);
        mClosing.remove(connection);
        mRequests.remove(connection);
    }

    /** Begins a request; returns false if its client was told that the connection ends before. */
    boolean tryBegin(HttpServerRequest request) {
        if (mClosing.contains(request.connection())) {
            return false;
        }
        mRequests.put(request.connection(), request);
        return true;
    }

    /** Records that the response to a request has ended. */
    void onResponseEnded(HttpServerRequest request) {
        mRequests.remove(request.connection(), request);
    }

    /** Records that a response on a connection announces its close. */
    void markClosing(HttpConnection connection) {
        mClosing.add(connection);
    }

    boolean isIdle(HttpConnection connection) {
        return !mRequests.containsKey(connection);
    }

    /** Returns the open connections without a request. */
    List<HttpConnection> idle() {
        return mOpen.stream().filter(this::isIdle).toList();
    }
}
