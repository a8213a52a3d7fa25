package org.fescuehollow.server.coordination;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.api.Fescuehollow;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.backend.BackendClient;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.server.suspects.SuspectsService;
import org.fescuehollow.settings.ServicePolicy;

/**
 * Coordinates the backend servers that fall to this node.
 *
 * <p>Invariant: holds a post for each server that the fleet view gives this node, and for servers
 * given up until their last request has ended. Used on the node's loop.
 */
public final class CoordinationService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "coordination";

    private static final long TICK_MILLIS = 20;
    private static final long REPORT_MILLIS = 1_000;
    private static final int BUSY_EVERY = 2;
    private static final int IDLE_EVERY = 5;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final BackendClient mClient;
    private final Metrics mMetrics;
    private final String mIncarnation;
    private final Map<String, ServerPost> mPosts = new TreeMap<>();
    private final List<ServerPost> mRetired = new ArrayList<>();
    private BudgetService mBudget;
    private SettingsService mSettings;
    private FleetService mFleet;
    private PostContext mContext;
    private Runnable mStopTimers = () -> {};
    private long mAttempts;
    private long mReports;
    private boolean mDraining;

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
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mSettings = kernel.find(SettingsService.NAME, SettingsService.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mBudget = kernel.find(BudgetService.NAME, BudgetService.class);
        mContext =
                new PostContext(
                        mClient,
                        mLoop,
                        mMetrics,
                        kernel.find(SuspectsService.NAME, SuspectsService.class),
                        Duration.ofMillis(mConfig.limits().quietMillis()).toNanos());
        mLoop.onPause(() -> List.copyOf(mPosts.values()).forEach(ServerPost::begin));
        kernel.find(PeerService.NAME, PeerService.class).onSubmit(this::submit);
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
        if (mDraining) {
            return;
        }
        Map<String, Vm> mine = new TreeMap<>();
        mFleet.view().coordinatedBy(mConfig.nodeId()).stream()
                .filter(vm -> mSettings.view().service(vm.service()).isPresent())
                .forEach(vm -> mine.put(vm.id(), vm));
        List<String> lost = mPosts.keySet().stream().filter(id -> !mine.containsKey(id)).toList();
        lost.forEach(this::giveUp);
        mine.values().forEach(this::keep);
    }

    private void giveUp(String server) {
        ServerPost post = mPosts.remove(server);
        mRetired.add(post);
        mMetrics.event("coordination_given_up");
        post.retire();
        if (mFleet.view().vms().find(server).isEmpty()) {
            post.serverGone();
        }
    }

    private void keep(Vm server) {
        ServicePolicy policy = mSettings.view().service(server.service()).orElseThrow();
        ServerPost post = mPosts.get(server.id());
        if (post != null) {
            post.configure(policy);
            return;
        }
        EngineCoordinator coordinator =
                Fescuehollow.coordinator(
                        server.id(), mConfig.nodeId() + "/" + mIncarnation, policy, mBudget.bank());
        ServerPost created = new ServerPost(server, coordinator, mContext);
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
        return mSettings
                .view()
                .service(server.service())
                .filter(ServicePolicy::servesModel)
                .isPresent();
    }

    /**
     * Takes an attempt, from this node or another.
     *
     * @param server the backend server's id
     * @param call the call
     * @param firmness how firmly the sender asks
     * @param sink receives the answer; declined if this node doesn't coordinate the server
     * @return withdraws the attempt
     */
    public CallHandle submit(String server, Call call, Firmness firmness, AnswerSink sink) {
        ServerPost post = mPosts.get(server);
        if (post == null) {
            sink.declined(Quote.UNAVAILABLE);
            return () -> {};
        }
        String attempt = mConfig.nodeId() + "/" + mIncarnation + "/" + mAttempts++;
        return post.submit(attempt, call, firmness, sink);
    }

    /**
     * Gives all backend servers up and waits for what runs on them.
     *
     * @return completes when nothing runs, or when the limit for draining has passed
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        mLoop.run(
                () -> {
                    List.copyOf(mPosts.keySet()).forEach(this::giveUp);
                    mDraining = true;
                    pollIdle(done, mLoop.now() + mConfig.limits().drainMillis() * 1_000_000L);
                });
        return done.future();
    }

    private void pollIdle(Promise<Void> done, long end) {
        mRetired.removeIf(ServerPost::isIdle);
        if (mRetired.isEmpty() || mLoop.now() >= end) {
            done.tryComplete();
        } else {
            mLoop.after(TICK_MILLIS, () -> pollIdle(done, end));
        }
    }

    @Override
    public void stop() {
        mStopTimers.run();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mPosts.forEach((id, post) -> out.put(id, post.dump()));
        out.put("given_up_still_running", mRetired.size());
        return out;
    }
}
