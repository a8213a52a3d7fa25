package org.fescuehollow.server.routing;

import static org.fescuehollow.error.ShouldNotCrashBackends.shouldNotCrashBackends;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.CoordinatorPort;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.coordination.CoordinatorService;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.suspects.SuspectsService;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Takes each call to a backend server, trying others where that is safe.
 *
 * <p>Invariants: a call that must not repeat reaches at most one backend server; the caller's sink
 * gets one attempt's answer only. Used on the node's loop.
 */
public final class RoutingService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "routing";

    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_BURST = 20;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final RetryBudget mBudget = new RetryBudget(RETRY_SHARE, RETRY_BURST);
    private FleetService mFleet;
    private CoordinatorPort mPort;
    private SuspectsService mSuspects;
    private int mInFlight;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public RoutingService(NodeConfig config, NodeLoop loop, Metrics metrics) {
        mLoop = loop;
        mConfig = config;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mPort = kernel.find(CoordinatorService.NAME, CoordinatorService.class);
        mSuspects = kernel.find(SuspectsService.NAME, SuspectsService.class);
    }

    /**
     * Runs a call.
     *
     * @param call the call
     * @param sink receives the answer or the final problem
     * @return withdraws the call
     */
    public CallHandle run(Call call, AnswerSink sink) {
        int crashes = mSuspects.count(call.digest());
        if (crashes >= CrashSuspects.CRASH_LIMIT) {
            sink.failed(shouldNotCrashBackends(crashes));
            return () -> {};
        }
        mInFlight++;
        RoutedCall routed =
                new RoutedCall(call, planOf(call), mPort, sink, mMetrics, mLoop::now, this::ended);
        routed.begin();
        return routed;
    }

    private void ended() {
        mInFlight--;
    }

    private AttemptPlan planOf(Call call) {
        List<Vm> candidates =
                call.adapter()
                        .map(a -> mFleet.view().candidates(call.service(), a))
                        .orElseGet(() -> spread(call));
        return new AttemptPlan(call.service(), candidates, call.repeatable(), mBudget);
    }

    /** Orders plain servers by the call's id, those of the own failure domain first. */
    private List<Vm> spread(Call call) {
        long key = Rendezvous.hash(call.id());
        return mFleet.view().servers(call.service()).stream()
                .sorted(
                        Comparator.<Vm, Boolean>comparing(
                                        vm -> !vm.domain().equals(mConfig.domain()))
                                .thenComparing(
                                        vm -> Rendezvous.weight(key, Rendezvous.hash(vm.id()))))
                .toList();
    }

    /**
     * Returns how many calls are under way.
     *
     * @return calls begun and not ended
     */
    public int inFlight() {
        return mInFlight;
    }

    @Override
    public void stop() {}

    @Override
    public Object dump() {
        return new TreeMap<>(Map.of("in_flight", mInFlight));
    }
}
