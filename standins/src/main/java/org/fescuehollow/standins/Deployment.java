package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;

/**
 * A small deployment of stand-ins on loopback ports, with settings published for two teams.
 *
 * <p>Team {@code rennes-pets} may call {@code care-notes@v1}, {@code care-notes@v2} and {@code
 * profiles@v1} on service {@code assistants} and plain service {@code bookings}, where POST must
 * not be retried. Team {@code brest-pets} may call {@code answers@v1} only. Open and close it from
 * the same thread, which must not be an event loop.
 */
public final class Deployment implements AutoCloseable {
    /** Client key of team rennes-pets. */
    public static final String RENNES_KEY = "demo-key-rennes";

    /** Client key of team brest-pets. */
    public static final String BREST_KEY = "demo-key-brest";

    private static final String RENNES_KEY_HASH =
            "afb2fa3b536a1256ed26741cb25d2dc3816e9b15d5c1a5eca850b43042d525f7";
    private static final String BREST_KEY_HASH =
            "a8a91634efe7f8f9e1d887df52efa00eebd6609c7244f50b4587e5a61fbb6c71";

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final StoreStandIn mStore;
    private final SettingsStandIn mSettings = new SettingsStandIn(mVertx);
    private final VmListStandIn mVms = new VmListStandIn(mVertx);
    private final PlainServiceStandIn mBookings = new PlainServiceStandIn(mVertx);
    private final List<EngineStandIn> mEngines = new ArrayList<>();

    private Deployment(int engines, EngineOptions options, long loadMillis) {
        mStore = new StoreStandIn(mVertx, loadMillis);
        for (int i = 0; i < engines; i++) {
            mEngines.add(new EngineStandIn(mVertx, mStore, options));
        }
    }

    /**
     * Opens a deployment whose VM list has one entry node, in failure domain {@code rennes}.
     *
     * @param engines number of engines
     * @param options behaviour of the engines
     * @param loadMillis duration of an adapter load in milliseconds
     * @return the running stand-ins
     */
    public static Deployment open(int engines, EngineOptions options, long loadMillis) {
        Deployment deployment = new Deployment(engines, options, loadMillis);
        deployment.openAll();
        return deployment;
    }

    private void openAll() {
        mStore.open();
        mSettings.open();
        mVms.open();
        mBookings.open();
        mVms.put("rennes-1", "entry", "", "rennes", 0);
        mVms.put("bookings-1", "service", "bookings", "rennes", mBookings.port());
        for (int i = 0; i < mEngines.size(); i++) {
            mEngines.get(i).open();
            String id = "engine-" + (i + 1);
            mVms.put(id, "engine", "assistants", "rennes", mEngines.get(i).port());
        }
        publish();
    }

    private void publish() {
        mSettings.publish("store", "loads_per_second: 1000\nin_transit: 8\n");
        mSettings.publish(
                "services/assistants",
                "kind: model\nslots: 2\nbatch: 8\nweighting: stalls-first\n");
        mSettings.publish("services/bookings", "kind: plain\nbatch: 64\n");
        mSettings.publish(
                "teams/rennes-pets/access",
                """
                keys: [%s]
                adapters:
                  - {name: care-notes, versions: [v1, v2], service: assistants}
                  - {name: profiles, versions: [v1], service: assistants}
                services: [bookings]
                """
                        .formatted(RENNES_KEY_HASH));
        mSettings.publish(
                "teams/rennes-pets/traffic",
                """
                priority: interactive
                never_repeat:
                  - {service: bookings, methods: [POST]}
                """);
        mSettings.publish(
                "teams/brest-pets/access",
                """
                keys: [%s]
                adapters:
                  - {name: answers, versions: [v1], service: assistants}
                """
                        .formatted(BREST_KEY_HASH));
    }

    /**
     * Returns the settings of an entry process for this deployment.
     *
     * @return YAML; the system chooses all ports
     */
    public String nodeYaml() {
        return nodeYaml("rennes-1", "rennes", 0);
    }

    /**
     * Returns the settings of an entry process for this deployment.
     *
     * @param id the node's id
     * @param domain the failure domain of the node
     * @param peerPort the port for connections from other nodes; zero lets the system choose
     * @return YAML
     */
    public String nodeYaml(String id, String domain, int peerPort) {
        return """
        node: {id: %s, failure_domain: %s}
        listen:
          callers: {host: 127.0.0.1, port: 0}
          peers: {host: 127.0.0.1, port: %d}
          admin: {host: 127.0.0.1, port: 0}
        platform:
          settings: %s
          vm_list: %s
        limits: {quiet_ms: 0, leave_ms: 0}
        """
                .formatted(id, domain, peerPort, mSettings.url(), mVms.url());
    }

    /**
     * Returns the engines.
     *
     * @return in order of their ids
     */
    public List<EngineStandIn> engines() {
        return List.copyOf(mEngines);
    }

    /**
     * Returns the stand-in for the configuration service.
     *
     * @return the stand-in
     */
    public SettingsStandIn settings() {
        return mSettings;
    }

    /**
     * Returns the stand-in for the VM list.
     *
     * @return the stand-in
     */
    public VmListStandIn vms() {
        return mVms;
    }

    /**
     * Returns the stand-in for the weight store.
     *
     * @return the stand-in
     */
    public StoreStandIn store() {
        return mStore;
    }

    /**
     * Returns the stand-in for the plain service.
     *
     * @return the stand-in
     */
    public PlainServiceStandIn bookings() {
        return mBookings;
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
