package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.StoreStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a store that returns from an older copy and, before the node's next call, climbs past the
 * revision from which the node watches: the watch goes on without an error.
 */
class StoreReturnTest {
    private static final JsonObject BOUNDS =
            new JsonObject().put("settlingMillis", 1_000).put("drainMillis", 400);

    private final TestCluster mCluster = new TestCluster().bounds(BOUNDS);
    private int mCalls;

    @AfterEach
    void close() {
        mCluster.close();
    }

    private int status(String path) {
        return mCluster.call(0, path, "id-" + mCalls++, "x").statusCode();
    }

    private String body() {
        return mCluster.call(0, "/read/", "id-" + mCalls++, "x").body();
    }

    /** Writes entries that concern no request, so that revisions advance. */
    private void advance(int writes) {
        for (int i = 0; i < writes; i++) {
            mCluster.store().put("op/version/m.a9", "{}");
            mCluster.store().put("servers/other", "unreadable");
        }
    }

    @Test
    void changes_writtenAtReusedRevisionsAreRead() {
        StoreStandIn store = mCluster.store();
        EngineStandIn first = mCluster.addServer("i-1", "plain");
        mCluster.configure(1);
        StoreStandIn.Copy copy = store.copy();
        advance(5);
        mCluster.startNodes(1);
        then(body()).isEqualTo("answer of i-1 to x");
        EngineStandIn second = mCluster.addServer("i-2", "plain");
        synchronized (store) {
            store.returnTo(copy);
            store.remove("servers/i-1");
            store.put("servers/i-2", second.entry());
            mCluster.configureHosts(2, "other.example");
            advance(5);
        }
        TestCluster.await(() -> status("/read/") == 404);
        mCluster.configure(3);
        TestCluster.await(() -> status("/read/") == 200);
        TestCluster.await(() -> body().equals("answer of i-2 to x"));
        then(first.receivedRequests()).isNotEmpty();
    }

    @Test
    void configuration_ofTheCopyDoesNotReplaceTheNewerOne() {
        StoreStandIn store = mCluster.store();
        EngineStandIn first = mCluster.addServer("i-1", "plain");
        mCluster.configureHosts(1, "other.example");
        StoreStandIn.Copy copy = store.copy();
        mCluster.configure(2);
        mCluster.startNodes(1);
        then(status("/read/")).isEqualTo(200);
        store.returnTo(copy);
        first.onRequest(first::refuse);
        EngineStandIn later = mCluster.addServer("i-2", "plain");
        TestCluster.await(
                () -> {
                    then(status("/read/")).isNotEqualTo(404);
                    return !later.receivedRequests().isEmpty();
                });
    }
}
