package org.fescuehollow.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;

/**
 * The backend servers that accept new requests, and the entry node that coordinates each of them.
 *
 * <pre>{@code
 * FleetView fleet = FleetView.of(vmList, liveNodes);
 * List<Vm> engines = fleet.candidates("assistants-redaction", adapter);
 * }</pre>
 *
 * <p>Invariants: a leaving VM is never a candidate; a backend server is coordinated by a live entry
 * node of its own failure domain, or by none. Not safe for concurrent use, since rankings are
 * computed and cached on first use.
 */
public final class FleetView {
    private final VmList mVms;
    private final Map<String, List<Vm>> mLiveNodesByDomain;
    private final Map<String, CandidateTable> mTablesByService = new HashMap<>();
    private final Map<String, Optional<Vm>> mCoordinatorsByServer = new HashMap<>();

    private FleetView(VmList vms, Map<String, List<Vm>> nodesByDomain) {
        mVms = vms;
        mLiveNodesByDomain = nodesByDomain;
    }

    /**
     * Creates the view.
     *
     * @param vms the platform's list of VMs
     * @param liveNodes ids of the entry nodes that this node considers alive
     * @return the view, in which backend servers in failure domains without a live node aren't
     *     candidates
     */
    public static FleetView of(VmList vms, Set<String> liveNodes) {
        Map<String, List<Vm>> nodes =
                vms.withRole(VmRole.ENTRY).stream()
                        .filter(vm -> liveNodes.contains(vm.id()))
                        .collect(Collectors.groupingBy(Vm::domain));
        return new FleetView(vms, nodes);
    }

    /**
     * Returns the engines that may serve an adapter, in order of preference.
     *
     * @param service the model service
     * @param adapter the adapter
     * @return live engines with a coordinator
     */
    public List<Vm> candidates(String service, AdapterRef adapter) {
        return mTablesByService.computeIfAbsent(service, this::createTable).candidates(adapter);
    }

    /**
     * Returns the backend servers of a service that accept new requests.
     *
     * @param service the service
     * @return live servers with a coordinator, sorted by id
     */
    public List<Vm> servers(String service) {
        return mTablesByService.computeIfAbsent(service, this::createTable).engines();
    }

    private CandidateTable createTable(String service) {
        return new CandidateTable(
                mVms.ofService(service).stream()
                        .filter(Vm::isLive)
                        .filter(vm -> mLiveNodesByDomain.containsKey(vm.domain()))
                        .toList());
    }

    /**
     * Returns the entry node that coordinates a backend server.
     *
     * @param server the backend server
     * @return the node, or empty if none is alive in the server's failure domain
     */
    public Optional<Vm> coordinatorOf(Vm server) {
        return mCoordinatorsByServer.computeIfAbsent(
                server.id(),
                id ->
                        Rendezvous.pick(
                                id,
                                mLiveNodesByDomain.getOrDefault(server.domain(), List.of()),
                                Vm::id));
    }

    /**
     * Returns the backend servers that a node coordinates, including leaving ones.
     *
     * @param node the node's id
     * @return the servers, in the order of the platform's list
     */
    public List<Vm> coordinatedBy(String node) {
        return mVms.vms().stream()
                .filter(vm -> vm.role() != VmRole.ENTRY)
                .filter(vm -> coordinatorOf(vm).filter(n -> n.id().equals(node)).isPresent())
                .toList();
    }

    /**
     * Returns the platform's list of VMs from which this view was created.
     *
     * @return the list
     */
    public VmList vms() {
        return mVms;
    }
}
