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
 * Entry point of the decision library: static factories for its parts.
 *
 * <pre>{@code
 * SettingsStore settings = Fescuehollow.settings();
 * FleetView fleet = Fescuehollow.fleet(vms, liveNodes);
 * EngineCoordinator engine = Fescuehollow.coordinator("engine-1", "node-1", policy, permits);
 * List<Order> orders = engine.submit(now, work);
 * }</pre>
 *
 * <p>The parts know no sockets, threads or clocks: drive them with messages and the time, and carry
 * out what they return. Stateless and safe for use by any thread; the parts are not.
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
     * @param vms the platform's list
     * @param liveNodes ids of the entry nodes that are alive
     * @return the view
     */
    public static FleetView fleet(VmList vms, Set<String> liveNodes) {
        return FleetView.of(vms, liveNodes);
    }

    /**
     * Creates the coordinator of one backend server, not yet begun.
     *
     * @param server the backend server's id
     * @param node this node's id and incarnation
     * @param policy the service's policy
     * @param permits permits for loads
     * @return the coordinator
     */
    public static EngineCoordinator coordinator(
            String server, String node, ServicePolicy policy, LoadBudget permits) {
        return new EngineCoordinator(
                server, node, policy, EvictionPolicy.LEAST_FREQUENTLY_USED, permits);
    }

    /**
     * Creates a node's permits to load, without a share.
     *
     * @param node this node's id
     * @param now the monotonic time in nanoseconds
     * @param longestLoad the longest time of a load
     * @return the bank
     */
    public static PermitPool permits(String node, long now, Duration longestLoad) {
        return new PermitPool(node, now, longestLoad.toNanos());
    }

    /**
     * Creates the membership of a node that knows nobody.
     *
     * @param node this node's id
     * @param domain its failure domain
     * @param incarnation higher than in any earlier life
     * @return the membership
     */
    public static Membership membership(String node, String domain, long incarnation) {
        return new Membership(node, domain, incarnation, MembershipTiming.DEFAULT);
    }

    /**
     * Creates the ledger of a process's life.
     *
     * @param node this node's id
     * @param incarnation this process's life
     * @param secret random bytes that seal its tickets
     * @param capacity how many used tickets are remembered
     * @return the ledger
     */
    public static TicketLedger tickets(
            String node, String incarnation, byte[] secret, int capacity) {
        return new TicketLedger(node, incarnation, secret, capacity);
    }
}
