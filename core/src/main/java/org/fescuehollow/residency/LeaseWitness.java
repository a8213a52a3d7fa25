package org.fescuehollow.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The leases that this node grants as a witness: a node orders an engine only while a majority of
 * the witnesses, which are the same for all nodes, grants it the lease.
 *
 * <p>Failure pattern: two nodes that can't hear each other claim an engine within the time by which
 * its reports lag. Any two majorities share a witness, and that one grants only one of them.
 *
 * <p>Invariants: a lease is granted to another node only once {@link EngineLease#exclusiveNanos}
 * has passed since it was last granted; a node that just started grants nothing for that time, as
 * it may have granted leases before. Not safe for concurrent use.
 */
public final class LeaseWitness {
    /** Above this number, grants that bind no longer are forgotten. */
    private static final int MAX_GRANTS = 8_192;

    private final long mExclusiveNanos;
    private final long mReleaseNanos;
    private final long mStartedNanos;
    private final Map<String, Grant> mGrants = new HashMap<>();

    /**
     * The last grant for an engine.
     *
     * @param node the node's name and incarnation
     * @param askedNanos when the node asked, by its own clock
     * @param nanos when it was granted, by this node's clock
     * @param fence the highest fencing number that any node named for the engine
     */
    private record Grant(String node, long askedNanos, long nanos, long fence) {}

    /**
     * Creates a witness that has granted nothing since its start.
     *
     * @param leaseMillis the lease duration: the minimum time between orders of two nodes
     * @param now the monotonic time in nanoseconds
     */
    public LeaseWitness(long leaseMillis, long now) {
        mExclusiveNanos = EngineLease.exclusiveNanos(leaseMillis);
        mReleaseNanos = EngineLease.maxUnconfirmedNanos(leaseMillis);
        mStartedNanos = now;
    }

    /**
     * Handles the request of a node for the lease of an engine, new or to be extended.
     *
     * @param engine the engine's id
     * @param node the node's name and incarnation
     * @param askedNanos when it asked, by its own monotonic clock
     * @param fence the highest fencing number that it knows for the engine
     * @param now the monotonic time in nanoseconds
     * @return the highest fencing number that any node named, or empty if the lease isn't granted
     */
    public OptionalLong request(String engine, String node, long askedNanos, long fence, long now) {
        Grant last = mGrants.get(engine);
        boolean free =
                last == null || last.node().equals(node) || now - last.nanos() >= mExclusiveNanos;
        if (!free || now - mStartedNanos < mExclusiveNanos || !hasRoom(last, now)) {
            return OptionalLong.empty();
        }
        long highest = last == null ? fence : Math.max(fence, last.fence());
        mGrants.put(engine, new Grant(node, askedNanos, now, highest));
        return OptionalLong.of(highest);
    }

    private boolean hasRoom(Grant last, long now) {
        if (last == null && mGrants.size() >= MAX_GRANTS) {
            mGrants.values().removeIf(g -> now - g.nanos() >= mExclusiveNanos);
        }
        return last != null || mGrants.size() < MAX_GRANTS;
    }

    /**
     * Handles the message of a node that it was not granted a lease by a majority and did not use
     * it.
     *
     * @param engine the engine's id
     * @param node the node's name and incarnation
     * @param askedNanos when it withdrew, by its own monotonic clock; a later request stands
     * @param now the monotonic time in nanoseconds
     */
    public void onWithdrawn(String engine, String node, long askedNanos, long now) {
        mGrants.computeIfPresent(
                engine,
                (e, g) ->
                        g.node().equals(node) && g.askedNanos() <= askedNanos
                                ? expired(g, mExclusiveNanos, now)
                                : g);
    }

    /**
     * Handles the message of a node that it gives no more orders to any engine. Others have to wait
     * for the lease duration only.
     *
     * @param node the node's name and incarnation
     * @param now the monotonic time in nanoseconds
     */
    public void onReleased(String node, long now) {
        mGrants.replaceAll((e, g) -> g.node().equals(node) ? expired(g, mReleaseNanos, now) : g);
    }

    private static Grant expired(Grant grant, long ageNanos, long now) {
        long nanos = Math.min(grant.nanos(), now - ageNanos);
        return new Grant(grant.node(), grant.askedNanos(), nanos, grant.fence());
    }
}
