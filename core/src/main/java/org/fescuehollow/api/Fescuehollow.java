package org.fescuehollow.api;

import java.time.Duration;
import java.util.Set;
import org.fescuehollow.idempotency.TicketLedger;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.model.VmList;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EvictionPolicy;
import org.fescuehollow.placement.LoadBudget;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.routing.FleetView;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.settings.SettingsStore;

/**
 * Entry point of the library: static factories for its components.
 *
 * <pre>{@code
 * SettingsStore settings = Fescuehollow.settings();
 * FleetView fleet = Fescuehollow.fleet(vms, liveNodes);
 * EngineCoordinator engine = Fescuehollow.coordinator("engine-1", "node-1", policy, permits);
 * List<Order> orders = engine.submit(now, work);
 * }</pre>
 *
 * <p>The components use no sockets, threads or clocks. Callers pass them messages and the current
 * time, and carry out the actions that they return. Stateless and safe for use by any thread; the
 * components are not.
 */
public final class Fescuehollow {
    private Fescuehollow() {}

    /**
     * Creates an empty store of published settings.
     *
     * @return the store
     */
    public static SettingsStore settings() {
        return new SettingsStore();
    }

    /**
     * Creates a view of the fleet.
     *
     * @param vms the platform's VM list
     * @param liveNodes ids of the live entry nodes
     * @return the view
     */
    public static FleetView fleet(VmList vms, Set<String> liveNodes) {
        return FleetView.of(vms, liveNodes);
    }

    /**
     * Creates the coordinator of one backend server, not yet started.
     *
     * @param server the backend server's id
     * @param node this node's id and incarnation
     * @param policy the service's policy
     * @param permits source of load permits
     * @return the coordinator
     */
    public static EngineCoordinator coordinator(
            String server, String node, ServicePolicy policy, LoadBudget permits) {
        return new EngineCoordinator(
                server, node, policy, EvictionPolicy.LEAST_FREQUENTLY_USED, permits);
    }

    /**
     * Creates a node's pool of load permits, initially empty.
     *
     * @param node this node's id
     * @param now the monotonic time in nanoseconds
     * @param maxLoadTime the longest time that a load takes
     * @return the pool
     */
    public static PermitPool permits(String node, long now, Duration maxLoadTime) {
        return new PermitPool(node, now, maxLoadTime.toNanos());
    }

    /**
     * Creates the membership of a node that knows no other nodes yet.
     *
     * @param node this node's id
     * @param domain its failure domain
     * @param incarnation the incarnation of this process; higher than all earlier ones of the node
     * @return the membership
     */
    public static Membership membership(String node, String domain, long incarnation) {
        return new Membership(node, domain, incarnation, MembershipTiming.DEFAULT);
    }

    /**
     * Creates the ticket ledger of a process.
     *
     * @param node this node's id
     * @param incarnation the incarnation of this process
     * @param secret random bytes that seal its tickets
     * @param capacity the maximum number of used tickets to remember
     * @return the ledger
     */
    public static TicketLedger tickets(
            String node, String incarnation, byte[] secret, int capacity) {
        return new TicketLedger(node, incarnation, secret, capacity);
    }
}
