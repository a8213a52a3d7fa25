package org.fescuehollow.server.testsupport;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.server.FescuehollowServer;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.standins.Deployment;
import org.fescuehollow.standins.EngineOptions;

/** Several entry processes of one deployment, in one JVM, over real sockets. */
public final class Nodes implements AutoCloseable {
    private final Deployment mStands;
    private final SortedMap<String, FescuehollowServer> mServers = new TreeMap<>();

    public Nodes(int engines) {
        mStands = Deployment.open(engines, EngineOptions.DEFAULT, 5);
        mStands.vms().remove("rennes-1");
    }

    /** Starts a node and lists it. */
    public Nodes start(String id, String domain) {
        String yaml =
                mStands.nodeYaml(id, domain, 0)
                        .replace("{quiet_ms: 0", "{probe_ms: 100, quiet_ms: 0");
        FescuehollowServer server = FescuehollowServer.of(NodeConfig.parse("test", yaml));
        server.start();
        mServers.put(id, server);
        mStands.vms().put(id, "entry", "", domain, server.peerPort());
        return this;
    }

    /** Waits until every node sees exactly the running ones and has settings. */
    public Nodes settle() {
        mServers.keySet().forEach(n -> Await.until(() -> live(n).equals(mServers.keySet())));
        mServers.keySet()
                .forEach(n -> Await.until(() -> admin(n).get("/readyz").statusCode() == 200));
        return this;
    }

    public Set<String> live(String node) {
        Set<String> live = new TreeSet<>();
        Json.read("dump", dump(node).getBytes())
                .path("fleet")
                .path("live_nodes")
                .forEach(n -> live.add(n.asText()));
        return live;
    }

    public String dump(String node) {
        return admin(node).get("/dump").body();
    }

    private Caller admin(String node) {
        return new Caller(mServers.get(node).adminPort(), "");
    }

    public Caller caller(String node) {
        return new Caller(mServers.get(node).callersPort(), Deployment.RENNES_KEY);
    }

    public FescuehollowServer server(String node) {
        return mServers.get(node);
    }

    /** Ends a node at once, without a word to the others. */
    public void kill(String node) {
        mServers.remove(node).stop();
    }

    /** Stops a node as planned. */
    public void drain(String node) {
        mServers.remove(node).drainAndStop();
    }

    public Deployment stands() {
        return mStands;
    }

    @Override
    public void close() {
        mServers.values().forEach(FescuehollowServer::stop);
        mStands.close();
    }
}
