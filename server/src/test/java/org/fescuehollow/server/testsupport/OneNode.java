package org.fescuehollow.server.testsupport;

import org.fescuehollow.server.FescuehollowServer;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.standins.Deployment;
import org.fescuehollow.standins.EngineOptions;

/** One entry process before stand-ins, ready for requests. */
public final class OneNode implements AutoCloseable {
    private final Deployment mStands;
    private final FescuehollowServer mServer;

    public OneNode(int engines) {
        this(engines, EngineOptions.DEFAULT);
    }

    public OneNode(int engines, EngineOptions options) {
        mStands = Deployment.open(engines, options, 5);
        mServer = FescuehollowServer.of(NodeConfig.parse("test", mStands.nodeYaml()));
        mServer.start();
        Await.until(() -> new Caller(mServer.adminPort(), "").get("/readyz").statusCode() == 200);
        Await.until(() -> dump().contains("engine-1") && dump().contains("bookings-1"));
    }

    public Caller caller() {
        return new Caller(mServer.callersPort(), Deployment.RENNES_KEY);
    }

    public Caller caller(String key) {
        return new Caller(mServer.callersPort(), key);
    }

    public String dump() {
        return new Caller(mServer.adminPort(), "").get("/dump").body();
    }

    public Deployment stands() {
        return mStands;
    }

    public FescuehollowServer server() {
        return mServer;
    }

    @Override
    public void close() {
        mServer.stop();
        mStands.close();
    }
}
