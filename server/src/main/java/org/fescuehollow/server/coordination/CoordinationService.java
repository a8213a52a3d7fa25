package org.fescuehollow.server.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.Eviction;
import org.fescuehollow.placement.StoreBudget;
import org.fescuehollow.server.backend.BackendClient;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.CoordinatorPort;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.settings.StorePolicy;

/**
 * Coordinates the backend servers that fall to this node.
 *
 * <p>Invariant: holds a post for each server that the fleet view gives this node, and for servers
 * given up until their last request has ended. Used on the node's loop.
 */
public final class CoordinationService implements Service, CoordinatorPort {
    /** The name under which other services find this one. */
    public static final String NAME = "coordination";

    private static final long TICK_MILLIS = 20;
    private static final long REPORT_MILLIS = 1_000;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final BackendClient mClient;
    private final Metrics mMetrics;
    private final String mIncarnation;
    private final Map<String, ServerPost> mPosts = new TreeMap<>();
    private final List<ServerPost> mRetired = new ArrayList<>();
    private final StoreBudget mBudget;
    private SettingsService mSettings;
    private FleetService mFleet;
    private Runnable mStopTimers = () -> {};
    private long mAttempts;
    private boolean mHadPosts;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param client speaks to backend servers
     * @param metrics the process's metrics
     * @param incarnation names this process's life, unlike any before it
     */
    public CoordinationService(
            NodeConfig config,
            NodeLoop loop,
            BackendClient client,
            Metrics metrics,
            String incarnation) {
        mConfig = config;
        mLoop = loop;
        mClient = client;
        mMetrics = metrics;
        mIncarnation = incarnation;
        mBudget = new StoreBudget(loop.now());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mSettings = kernel.find(SettingsService.NAME, SettingsService.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mLoop.run(
                () -> {
                    mSettings.onChange(e -> reconcile());
                    mFleet.onChange(this::reconcile);
                    reconcile();
                });
        Runnable ticks = mLoop.every(TICK_MILLIS, this::tick);
        Runnable reports = mLoop.every(REPORT_MILLIS, this::inspectAll);
        mStopTimers =
                () -> {
                    ticks.run();
                    reports.run();
                };
    }

    private void reconcile() {
        StorePolicy store = mSettings.view().store();
        double share = store.shareOf(mConfig.domain()) / nodesInDomain();
        mBudget.setShare(
                mLoop.now(),
                store.loadsPerSecond() * share,
                Math.max(1, Math.floor(store.inTransit() * share)));
        Map<String, Vm> mine = new TreeMap<>();
        mFleet.view().coordinatedBy(mConfig.nodeId()).stream()
                .filter(vm -> mSettings.view().service(vm.service()).isPresent())
                .forEach(vm -> mine.put(vm.id(), vm));
        List<String> lost = mPosts.keySet().stream().filter(id -> !mine.containsKey(id)).toList();
        lost.forEach(this::giveUp);
        mine.values().forEach(this::keep);
        mHadPosts = mHadPosts || !mPosts.isEmpty();
    }

    private int nodesInDomain() {
        long nodes =
                mFleet.view().vms().withRole(VmRole.ENTRY).stream()
                        .filter(vm -> vm.domain().equals(mConfig.domain()))
                        .count();
        return (int) Math.max(1, nodes);
    }

    private void giveUp(String server) {
        ServerPost post = mPosts.remove(server);
        mRetired.add(post);
        mMetrics.event("coordination_given_up");
        post.retire();
    }

    private void keep(Vm server) {
        ServicePolicy policy = mSettings.view().service(server.service()).orElseThrow();
        ServerPost post = mPosts.get(server.id());
        if (post != null) {
            post.configure(policy);
            return;
        }
        EngineCoordinator coordinator =
                new EngineCoordinator(
                        server.id(),
                        mConfig.nodeId() + "/" + mIncarnation,
                        policy,
                        Eviction.LEAST_FREQUENT_AGED,
                        mBudget);
        ServerPost created =
                new ServerPost(
                        server,
                        coordinator,
                        mClient,
                        mLoop,
                        mMetrics,
                        Duration.ofMillis(mConfig.limits().quietMillis()).toNanos());
        mPosts.put(server.id(), created);
        mMetrics.event("coordination_taken");
        created.begin();
    }

    private void tick() {
        mPosts.values().forEach(ServerPost::tick);
        mRetired.removeIf(ServerPost::isIdle);
    }

    private void inspectAll() {
        mPosts.values().stream().filter(p -> isModel(p.server())).forEach(ServerPost::inspect);
    }

    private boolean isModel(Vm server) {
        return mSettings.view().service(server.service()).filter(ServicePolicy::model).isPresent();
    }

    @Override
    public CallHandle submit(Vm server, Call call, boolean mayRedirect, AnswerSink sink) {
        ServerPost post = mPosts.get(server.id());
        if (post == null) {
            sink.redirected();
            return () -> {};
        }
        String attempt = mConfig.nodeId() + "/" + mIncarnation + "/" + mAttempts++;
        return post.submit(attempt, call, mayRedirect, sink);
    }

    /**
     * Tells whether this node ever had a backend server to coordinate.
     *
     * @return true once it had one
     */
    public boolean hasBegun() {
        return mHadPosts;
    }

    @Override
    public void stop() {
        mStopTimers.run();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mPosts.forEach((id, post) -> out.put(id, post.dump()));
        out.put("loads_in_transit", mBudget.inTransit());
        out.put("given_up_still_running", mRetired.size());
        return out;
    }
}
