package org.fescuehollow.server.fleet;

import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.routing.FleetView;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.platform.LongPoll;
import org.fescuehollow.server.platform.VmPage;

/**
 * Knows the VMs, the live entry nodes, and who coordinates which backend server.
 *
 * <p>Invariant: listeners hear of each change of the view after it is in place. Used on the node's
 * loop.
 */
public final class FleetService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "fleet";

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final HttpClient mClient;
    private final Metrics mMetrics;
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<Runnable> mListListeners = new ArrayList<>();
    private Optional<LongPoll> mPoll = Optional.empty();
    private VmList mVms = VmList.EMPTY;
    private Set<String> mLiveNodes;
    private FleetView mView;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param client an HTTP client
     * @param metrics the process's metrics
     */
    public FleetService(NodeConfig config, NodeLoop loop, HttpClient client, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mClient = client;
        mMetrics = metrics;
        mLiveNodes = new TreeSet<>();
        mView = FleetView.of(mVms, mLiveNodes);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mLoop.run(
                () -> {
                    LongPoll poll = new LongPoll(mLoop, mClient, this::url, this::received);
                    mPoll = Optional.of(poll);
                    poll.begin();
                });
    }

    private String url() {
        return mConfig.vmListUrl()
                + "/v1/vms?after="
                + mVms.revision()
                + "&wait_ms="
                + LongPoll.HOLD.toMillis();
    }

    private void received(byte[] body) {
        VmList list = VmPage.parse(body);
        if (list.revision() > mVms.revision()) {
            mVms = list;
            mMetrics.event("vm_list_changed");
            rebuild();
            mListListeners.forEach(Runnable::run);
        }
    }

    /**
     * Takes which entry nodes are alive.
     *
     * @param nodes ids; this node's own once it may take backend servers over
     */
    public void setLiveNodes(Set<String> nodes) {
        Set<String> live = new TreeSet<>(nodes);
        if (!live.equals(mLiveNodes)) {
            mLiveNodes = live;
            rebuild();
        }
    }

    private void rebuild() {
        mView = FleetView.of(mVms, mLiveNodes);
        mMetrics.set("vms", mVms.vms().size());
        mMetrics.set("live_nodes", mLiveNodes.size());
        mListeners.forEach(Runnable::run);
    }

    /**
     * Registers an action for each change of the view.
     *
     * @param listener the action
     */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Registers an action for each change of the platform's list.
     *
     * @param listener the action
     */
    public void onListChange(Runnable listener) {
        mListListeners.add(listener);
    }

    /**
     * Returns the entry nodes that are alive.
     *
     * @return ids; this node's own once it may take backend servers over
     */
    public Set<String> liveNodes() {
        return mLiveNodes;
    }

    /**
     * Returns the fleet as known now.
     *
     * @return the view
     */
    public FleetView view() {
        return mView;
    }

    /**
     * Returns how long ago the platform's list last answered this node.
     *
     * @return milliseconds; -1 if it never did
     */
    public long platformAgeMillis() {
        return mPoll.map(LongPoll::ageMillis).orElse(-1L);
    }

    @Override
    public void stop() {
        mLoop.run(() -> mPoll.ifPresent(LongPoll::stop));
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("revision", mVms.revision());
        out.put("platform_reached", mPoll.map(LongPoll::isReached).orElse(false));
        out.put("platform_age_ms", platformAgeMillis());
        out.put("live_nodes", mLiveNodes);
        SortedMap<String, Object> servers = new TreeMap<>();
        mVms.vms().stream()
                .filter(vm -> vm.role() != VmRole.ENTRY)
                .forEach(vm -> servers.put(vm.id(), describe(vm)));
        out.put("servers", servers);
        return out;
    }

    private String describe(Vm vm) {
        return vm.service()
                + " "
                + vm.state().name().toLowerCase(Locale.ROOT)
                + " in "
                + vm.domain()
                + " at "
                + vm.address()
                + " coordinated by "
                + mView.coordinatorOf(vm).map(Vm::id).orElse("nobody");
    }
}
