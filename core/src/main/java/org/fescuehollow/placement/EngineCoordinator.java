package org.fescuehollow.placement;

import static org.fescuehollow.error.ShouldHaveCapacity.shouldHaveCapacity;
import static org.fescuehollow.error.ShouldLoadAdapter.shouldLoadAdapter;
import static org.fescuehollow.error.ShouldMeetDeadline.shouldMeetDeadline;
import static org.fescuehollow.internal.Preconditions.requireNonBlank;
import static org.fescuehollow.internal.Preconditions.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.fescuehollow.admission.FairQueue;
import org.fescuehollow.error.Problem;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.settings.FencingSupport;
import org.fescuehollow.settings.ServicePolicy;

/**
 * Decides everything about one backend server: which adapters it holds, what it runs, what waits.
 *
 * <pre>{@code
 * List<Order> orders = coordinator.submit(now, work);
 * orders = coordinator.loaded(now, adapter, true);
 * orders = coordinator.finished(now, "attempt-1");
 * }</pre>
 *
 * <p>Invariants: an adapter with a running attempt is never unloaded; an attempt starts only while
 * its adapter is resident, and at most once; running attempts never exceed the batch, and no two of
 * them are suspects; each attempt submitted gets exactly one of start, refuse, decline, or is
 * cancelled. A coordinator decides nothing about adapters before the engine's first report, and
 * evicts nothing before its quiet period has passed. Not safe for concurrent use.
 */
public final class EngineCoordinator {
    /** How old a slot's last change must be before a late report may contradict it. */
    public static final Duration REPORT_LAG = Duration.ofSeconds(10);

    private final String mServer;
    private final Reign mReign;
    private final SlotTable mSlots;
    private final LoadPlanner mLoads;
    private final FairQueue<Work> mQueue = new FairQueue<>();
    private final Map<String, Running> mRunning = new HashMap<>();
    private final Set<String> mStalled = new HashSet<>();
    private final ServiceTime mServiceTime = new ServiceTime();
    private ServicePolicy mPolicy;

    /** An attempt on the backend server. */
    private record Running(Work work, long startedNanos) {}

    /**
     * Creates the coordinator of one backend server.
     *
     * @param server the backend server's id
     * @param node this node's id and incarnation
     * @param policy the service's policy
     * @param eviction which adapter to give up
     * @param budget permits for loads
     */
    public EngineCoordinator(
            String server,
            String node,
            ServicePolicy policy,
            Eviction eviction,
            LoadBudget budget) {
        mServer = requireNonBlank("server", server);
        mReign = new Reign(requireNonBlank("node", node));
        mPolicy = requireNonNull("policy", policy);
        mSlots = new SlotTable(eviction);
        mLoads = new LoadPlanner(server, mSlots, requireNonNull("budget", budget));
        mReign.begin(0, !policy.model());
    }

    /**
     * Begins the reign, or begins it anew; the first order asks the engine for its state.
     *
     * @param now the monotonic time in nanoseconds
     * @param quietNanos how long to wait before the first eviction, since another node may still
     *     believe that it coordinates the engine
     * @return the orders
     */
    public List<Order> begin(long now, long quietNanos) {
        mReign.begin(quietNanos, !mPolicy.model());
        mLoads.callOffUnconfirmed(now, true);
        mLoads.evictFrom(now + quietNanos);
        return mReign.isKnown() ? List.of() : List.of(new Order.Inspect());
    }

    /**
     * Takes a new policy.
     *
     * @param now the monotonic time in nanoseconds
     * @param policy the service's policy
     * @return the orders
     */
    public List<Order> configure(long now, ServicePolicy policy) {
        mPolicy = policy;
        return pump(now, new ArrayList<>());
    }

    /**
     * Takes an attempt.
     *
     * @param now the monotonic time in nanoseconds
     * @param work the attempt
     * @return the orders
     */
    public List<Order> submit(long now, Work work) {
        List<Order> orders = new ArrayList<>();
        Optional<Quote> declined = declined(now, work);
        if (declined.isPresent()) {
            orders.add(new Order.Decline(work, declined.get()));
            return orders;
        }
        if (mQueue.size() >= mPolicy.queue()) {
            orders.add(new Order.Refuse(work, fullProblem()));
            return orders;
        }
        mQueue.offer(work.priority(), work.team(), work.weight(), work);
        return pump(now, orders);
    }

    /** A server is crowded when a turn here takes longer than a load elsewhere. */
    private Optional<Quote> declined(long now, Work work) {
        if (mReign.isOver()) {
            return Optional.of(Quote.NONE);
        }
        if (work.ask() == Ask.ALWAYS) {
            return Optional.empty();
        }
        double turn = mServiceTime.waitNanos(mRunning.size(), mQueue.size(), mPolicy.batch());
        boolean crowded = turn > (mPolicy.model() ? mLoads.loadWaitNanos() : 0);
        if (!crowded && work.adapter().map(this::isHeld).orElse(true)) {
            return Optional.empty();
        }
        Quote quote = mLoads.quote(now, crowded, work, mQueue.ordered(), mPolicy);
        boolean takes = work.ask() == Ask.IF_ROOM && !crowded && Double.isFinite(quote.price());
        return takes ? Optional.empty() : Optional.of(quote);
    }

    private boolean isHeld(AdapterRef adapter) {
        return mSlots.holds(adapter) || mLoads.isComing(adapter);
    }

    private Problem fullProblem() {
        return shouldHaveCapacity(
                mPolicy.name(),
                "the queue of " + mServer + " is full with " + mQueue.size() + " requests",
                mServiceTime.drainSeconds(mQueue.size(), mPolicy.batch()));
    }

    /**
     * Takes the result of a load order.
     *
     * @param now the monotonic time in nanoseconds
     * @param adapter the adapter
     * @param ok true if it is resident
     * @return the orders
     */
    public List<Order> loaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        OptionalInt failures = mLoads.loaded(now, adapter, ok);
        if (failures.isPresent()) {
            Problem problem = shouldLoadAdapter(adapter, failures.getAsInt());
            mQueue.removeIf(w -> w.needs(adapter)).forEach(w -> refuse(w, problem, orders));
        }
        return pump(now, orders);
    }

    private void refuse(Work work, Problem problem, List<Order> orders) {
        mStalled.remove(work.attempt());
        orders.add(new Order.Refuse(work, problem));
    }

    /**
     * Takes the result of an unload order; the load that it made room for follows.
     *
     * @param now the monotonic time in nanoseconds
     * @param adapter the adapter
     * @param ok true if it is gone
     * @return the orders
     */
    public List<Order> unloaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        mLoads.unloaded(now, adapter, ok, mReign.isOver(), orders);
        return pump(now, orders);
    }

    /**
     * Takes the end of an attempt, whatever its outcome; a second end of the same is ignored.
     *
     * @param now the monotonic time in nanoseconds
     * @param attempt the attempt
     * @return the orders
     */
    public List<Order> finished(long now, String attempt) {
        Running r = mRunning.remove(attempt);
        if (r == null) {
            return List.of();
        }
        r.work().adapter().ifPresent(a -> mSlots.unpin(a, attempt));
        mServiceTime.record(now - r.startedNanos());
        return pump(now, new ArrayList<>());
    }

    /**
     * Takes that the engine refused an attempt since it doesn't hold the adapter.
     *
     * @param adapter the adapter
     */
    public void lost(AdapterRef adapter) {
        mSlots.lost(adapter);
    }

    /**
     * Withdraws an attempt that hasn't started.
     *
     * @param attempt the attempt
     * @return true if it was waiting and will never start; false if it runs or is unknown
     */
    public boolean cancel(String attempt) {
        mStalled.remove(attempt);
        return !mQueue.removeIf(w -> w.attempt().equals(attempt)).isEmpty();
    }

    /**
     * Takes a report of the engine; the first one ends the time in which nothing is decided.
     *
     * @param now the monotonic time in nanoseconds
     * @param asked when the report was asked for
     * @param report the report
     * @return the orders
     */
    public List<Order> reported(long now, long asked, EngineReport report) {
        if (mReign.isNewLife(report.incarnation())) {
            mSlots.clear();
        }
        List<Order> orders = new ArrayList<>();
        mSlots.reconcile(report, now - REPORT_LAG.toNanos(), now);
        boolean fences = mPolicy.fencing() == FencingSupport.CHECKED;
        if (!mReign.isKnown()) {
            mLoads.setFencing(mReign.takeOver(report.highestFencing()));
            claim(fences, orders);
        } else if (fences && report.highestFencing() > mLoads.fencing()) {
            mReign.supersede(now);
            declineAll(orders);
        }
        if (mSlots.hasForeignUse()) {
            mLoads.evictFrom(now + mReign.quietNanos());
        }
        mLoads.confirm(asked, now, report, mQueue.ordered(), orders);
        return pump(now, orders);
    }

    private void claim(boolean fences, List<Order> orders) {
        mSlots.anyResident()
                .filter(a -> fences)
                .ifPresent(a -> orders.add(new Order.Claim(a, mLoads.fencing())));
    }

    private void declineAll(List<Order> orders) {
        mLoads.callOffUnconfirmed(0, true);
        mQueue.removeIf(w -> true)
                .forEach(
                        w -> {
                            mStalled.remove(w.attempt());
                            orders.add(new Order.Decline(w, Quote.NONE));
                        });
    }

    /**
     * Lets time pass: refuses what is late and begins what has become possible.
     *
     * @param now the monotonic time in nanoseconds
     * @return the orders
     */
    public List<Order> tick(long now) {
        if (mReign.mayReturn(now)) {
            return begin(now, mReign.quietNanos());
        }
        List<Order> orders = new ArrayList<>();
        refuseLate(now, orders);
        mLoads.callOffUnconfirmed(now, false);
        loadWanted(now, orders);
        return orders;
    }

    /**
     * Gives the server up: what waits goes elsewhere, what runs ends in peace, nothing new begins.
     *
     * @return the orders
     */
    public List<Order> retire() {
        mReign.retire();
        List<Order> orders = new ArrayList<>();
        declineAll(orders);
        return orders;
    }

    private List<Order> pump(long now, List<Order> orders) {
        refuseLate(now, orders);
        startReady(now, orders);
        loadWanted(now, orders);
        return orders;
    }

    private void refuseLate(long now, List<Order> orders) {
        mQueue.removeIf(w -> now - w.deadlineNanos() >= 0)
                .forEach(w -> refuse(w, shouldMeetDeadline(w.waitedMillis(now)), orders));
    }

    private void startReady(long now, List<Order> orders) {
        while (mReign.isActive() && mRunning.size() < mPolicy.batch()) {
            Optional<Work> next = mQueue.poll(this::mayStart);
            if (next.isEmpty()) {
                return;
            }
            start(now, next.get(), orders);
        }
    }

    private boolean mayStart(Work work) {
        return isReady(work)
                && !(work.suspect()
                        && mRunning.values().stream().anyMatch(r -> r.work().suspect()));
    }

    private boolean isReady(Work work) {
        return work.adapter().map(mSlots::isResident).orElse(true);
    }

    private void start(long now, Work work, List<Order> orders) {
        work.adapter().ifPresent(a -> mSlots.pin(a, work, now));
        mRunning.put(work.attempt(), new Running(work, now));
        boolean stalled = mStalled.remove(work.attempt());
        orders.add(new Order.Start(work, now - work.arrivedNanos(), stalled));
    }

    private void loadWanted(long now, List<Order> orders) {
        if (mQueue.size() == 0 || !mPolicy.model() || !mReign.isActive()) {
            return;
        }
        List<Work> waiting = mQueue.ordered();
        waiting.stream().filter(w -> !isReady(w)).forEach(w -> mStalled.add(w.attempt()));
        mLoads.plan(now, waiting, mPolicy, orders);
    }

    /**
     * Returns the attempts that run on the backend server.
     *
     * @return a copy, by attempt
     */
    public Map<String, Work> running() {
        return mRunning.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().work()));
    }

    /**
     * Returns how many attempts wait.
     *
     * @return the queue's length
     */
    public int queued() {
        return mQueue.size();
    }

    /**
     * Tells whether an attempt runs or waits here.
     *
     * @return true if nothing is left to do
     */
    public boolean isIdle() {
        return mRunning.isEmpty() && mQueue.size() == 0;
    }

    /**
     * Returns the state for a dump.
     *
     * @return plain data
     */
    public SortedMap<String, Object> dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("adapters", mSlots.dump());
        out.put("batch", mPolicy.batch());
        out.put("fencing", mLoads.fencing());
        out.put("reign", mReign.toString());
        out.put("queued", mQueue.size());
        out.put("running", mRunning.size());
        out.put("service", mPolicy.name());
        return out;
    }
}
