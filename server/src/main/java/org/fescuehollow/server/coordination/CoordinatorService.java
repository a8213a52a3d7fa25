package org.fescuehollow.server.coordination;

import java.util.Optional;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.CoordinatorPort;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.peer.PeerService;

/** Reaches the coordinator of any backend server, here or on another node. Used on the loop. */
public final class CoordinatorService implements Service, CoordinatorPort {
    /** The name under which other services find this one. */
    public static final String NAME = "coordinators";

    private final NodeConfig mConfig;
    private FleetService mFleet;
    private PeerService mPeers;
    private CoordinationService mLocal;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     */
    public CoordinatorService(NodeConfig config) {
        mConfig = config;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mPeers = kernel.find(PeerService.NAME, PeerService.class);
        mLocal = kernel.find(CoordinationService.NAME, CoordinationService.class);
    }

    @Override
    public CallHandle submit(Vm server, Call call, Firmness firmness, AnswerSink sink) {
        Optional<String> node = mFleet.view().coordinatorOf(server).map(Vm::id);
        if (node.isEmpty()) {
            sink.declined(Quote.UNAVAILABLE);
            return () -> {};
        }
        return node.get().equals(mConfig.nodeId())
                ? mLocal.submit(server.id(), call, firmness, sink)
                : mPeers.submit(node.get(), server.id(), call, firmness, sink);
    }

    @Override
    public void stop() {}
}
