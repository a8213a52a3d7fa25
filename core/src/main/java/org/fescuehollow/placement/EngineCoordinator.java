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
    public static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(10);

    private final String mServer;
    private final CoordinatorTerm mTerm;
    private final SlotTable mSlots;
    private final LoadPlanner mLoadPlanner;
    private final FairQueue<AttemptSpec> mQueue = new FairQueue<>();
    private final Map<String, RunningAttempt> mRunning = new HashMap<>();
    private final Set<String> mStalled = new HashSet<>();
    private final MeanServiceTime mServiceTime = new MeanServiceTime();
    private ServicePolicy mPolicy;

    /** An attempt on the backend server. */
    private record RunningAttempt(AttemptSpec attempt, long startedNanos) {}

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
            EvictionPolicy eviction,
            LoadBudget budget) {
        mServer = requireNonBlank("server", server);
        mTerm = new CoordinatorTerm(requireNonBlank("node", node));
        mPolicy = requireNonNull("policy", policy);
        mSlots = new SlotTable(eviction);
        mLoadPlanner = new LoadPlanner(server, mSlots, requireNonNull("budget", budget));
        mTerm.begin(0, !policy.servesModel());
    }

    /**
     * Begins the reign, or begins it anew; the first order asks the engine for its state.
     *
     * @param now the monotonic time in nanoseconds
     * @param quietNanos how long to wait before the first eviction, since another node may still
     *     believe that it coordinates the engine
     * @return the orders
     */
    public List<Order> beginTerm(long now, long quietNanos) {
        mTerm.begin(quietNanos, !mPolicy.servesModel());
        mLoadPlanner.cancelUnconfirmedEvictions(now, true);
        mLoadPlanner.allowEvictionFrom(now + quietNanos);
        return mTerm.hasServerState() ? List.of() : List.of(new Order.RequestReport());
    }

    /**
     * Takes a new policy.
     *
     * @param now the monotonic time in nanoseconds
     * @param policy the service's policy
     * @return the orders
     */
    public List<Order> setPolicy(long now, ServicePolicy policy) {
        mPolicy = policy;
        return processQueue(now, new ArrayList<>());
    }

    /**
     * Takes an attempt.
     *
     * @param now the monotonic time in nanoseconds
     * @param work the attempt
     * @return the orders
     */
    public List<Order> submit(long now, AttemptSpec work) {
        List<Order> orders = new ArrayList<>();
        Optional<Quote> declined = declineQuote(now, work);
        if (declined.isPresent()) {
            orders.add(new Order.Decline(work, declined.get()));
            return orders;
        }
        if (mQueue.size() >= mPolicy.queue()) {
            orders.add(new Order.Refuse(work, queueFullProblem()));
            return orders;
        }
        mQueue.offer(work.priority(), work.team(), work.weight(), work);
        return processQueue(now, orders);
    }

    /** A server is crowded when a turn here takes longer than a load elsewhere. */
    private Optional<Quote> declineQuote(long now, AttemptSpec work) {
        if (mTerm.isOver()) {
            return Optional.of(Quote.UNAVAILABLE);
        }
        if (work.admissionMode() == AdmissionMode.ALWAYS) {
            return Optional.empty();
        }
        double turn = mServiceTime.queueWaitNanos(mRunning.size(), mQueue.size(), mPolicy.batch());
        boolean crowded = turn > (mPolicy.servesModel() ? mLoadPlanner.meanLoadWaitNanos() : 0);
        if (!crowded && work.adapter().map(this::isHeldOrPending).orElse(true)) {
            return Optional.empty();
        }
        Quote quote = mLoadPlanner.quote(now, crowded, work, mQueue.ordered(), mPolicy);
        boolean takes =
                work.admissionMode() == AdmissionMode.IF_LOADABLE
                        && !crowded
                        && Double.isFinite(quote.evictionCost());
        return takes ? Optional.empty() : Optional.of(quote);
    }

    private boolean isHeldOrPending(AdapterRef adapter) {
        return mSlots.holds(adapter) || mLoadPlanner.isReplacementPending(adapter);
    }

    private Problem queueFullProblem() {
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
    public List<Order> onLoaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        OptionalInt failures = mLoadPlanner.onLoaded(now, adapter, ok);
        if (failures.isPresent()) {
            Problem problem = shouldLoadAdapter(adapter, failures.getAsInt());
            mQueue.removeIf(w -> w.needs(adapter)).forEach(w -> refuse(w, problem, orders));
        }
        return processQueue(now, orders);
    }

    private void refuse(AttemptSpec work, Problem problem, List<Order> orders) {
        mStalled.remove(work.id());
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
    public List<Order> onUnloaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        mLoadPlanner.onUnloaded(now, adapter, ok, mTerm.isOver(), orders);
        return processQueue(now, orders);
    }

    /**
     * Takes the end of an attempt, whatever its outcome; a second end of the same is ignored.
     *
     * @param now the monotonic time in nanoseconds
     * @param attempt the attempt
     * @return the orders
     */
    public List<Order> onFinished(long now, String attempt) {
        RunningAttempt r = mRunning.remove(attempt);
        if (r == null) {
            return List.of();
        }
        r.attempt().adapter().ifPresent(a -> mSlots.unpin(a, attempt));
        mServiceTime.record(now - r.startedNanos());
        return processQueue(now, new ArrayList<>());
    }

    /**
     * Takes that the engine refused an attempt since it doesn't hold the adapter.
     *
     * @param adapter the adapter
     */
    public void onAdapterMissing(AdapterRef adapter) {
        mSlots.removeIfResident(adapter);
    }

    /**
     * Withdraws an attempt that hasn't started.
     *
     * @param attempt the attempt
     * @return true if it was waiting and will never start; false if it runs or is unknown
     */
    public boolean cancel(String attempt) {
        mStalled.remove(attempt);
        return !mQueue.removeIf(w -> w.id().equals(attempt)).isEmpty();
    }

    /**
     * Takes a report of the engine; the first one ends the time in which nothing is decided.
     *
     * @param now the monotonic time in nanoseconds
     * @param asked when the report was asked for
     * @param report the report
     * @return the orders
     */
    public List<Order> onReport(long now, long asked, EngineReport report) {
        if (mTerm.updateIncarnation(report.incarnation())) {
            mSlots.clear();
        }
        List<Order> orders = new ArrayList<>();
        mSlots.reconcile(report, now - MAX_REPORT_DELAY.toNanos(), now);
        boolean fences = mPolicy.fencing() == FencingSupport.CHECKED;
        if (!mTerm.hasServerState()) {
            mLoadPlanner.setFencingNumber(mTerm.takeFencingNumber(report.highestFencing()));
            addClaim(fences, orders);
        } else if (fences && report.highestFencing() > mLoadPlanner.fencingNumber()) {
            mTerm.supersede(now);
            declineAll(orders);
        }
        if (mSlots.hasForeignRequests()) {
            mLoadPlanner.allowEvictionFrom(now + mTerm.evictionDelayNanos());
        }
        mLoadPlanner.confirmEvictions(asked, now, report, mQueue.ordered(), orders);
        return processQueue(now, orders);
    }

    private void addClaim(boolean fences, List<Order> orders) {
        mSlots.anyResident()
                .filter(a -> fences)
                .ifPresent(a -> orders.add(new Order.Claim(a, mLoadPlanner.fencingNumber())));
    }

    private void declineAll(List<Order> orders) {
        mLoadPlanner.cancelUnconfirmedEvictions(0, true);
        mQueue.removeIf(w -> true)
                .forEach(
                        w -> {
                            mStalled.remove(w.id());
                            orders.add(new Order.Decline(w, Quote.UNAVAILABLE));
                        });
    }

    /**
     * Lets time pass: refuses what is late and begins what has become possible.
     *
     * @param now the monotonic time in nanoseconds
     * @return the orders
     */
    public List<Order> tick(long now) {
        if (mTerm.mayResume(now)) {
            return beginTerm(now, mTerm.evictionDelayNanos());
        }
        List<Order> orders = new ArrayList<>();
        refuseExpired(now, orders);
        mLoadPlanner.cancelUnconfirmedEvictions(now, false);
        planLoads(now, orders);
        return orders;
    }

    /**
     * Gives the server up: what waits goes elsewhere, what runs ends in peace, nothing new begins.
     *
     * @return the orders
     */
    public List<Order> retire() {
        mTerm.retire();
        List<Order> orders = new ArrayList<>();
        declineAll(orders);
        return orders;
    }

    private List<Order> processQueue(long now, List<Order> orders) {
        refuseExpired(now, orders);
        startReady(now, orders);
        planLoads(now, orders);
        return orders;
    }

    private void refuseExpired(long now, List<Order> orders) {
        mQueue.removeIf(w -> now - w.deadlineNanos() >= 0)
                .forEach(w -> refuse(w, shouldMeetDeadline(w.waitedMillis(now)), orders));
    }

    private void startReady(long now, List<Order> orders) {
        while (mTerm.isActive() && mRunning.size() < mPolicy.batch()) {
            Optional<AttemptSpec> next = mQueue.poll(this::mayStart);
            if (next.isEmpty()) {
                return;
            }
            start(now, next.get(), orders);
        }
    }

    private boolean mayStart(AttemptSpec work) {
        return isReady(work)
                && !(work.suspect()
                        && mRunning.values().stream().anyMatch(r -> r.attempt().suspect()));
    }

    private boolean isReady(AttemptSpec work) {
        return work.adapter().map(mSlots::isResident).orElse(true);
    }

    private void start(long now, AttemptSpec work, List<Order> orders) {
        work.adapter().ifPresent(a -> mSlots.pin(a, work, now));
        mRunning.put(work.id(), new RunningAttempt(work, now));
        boolean stalled = mStalled.remove(work.id());
        orders.add(new Order.Start(work, now - work.arrivedNanos(), stalled));
    }

    private void planLoads(long now, List<Order> orders) {
        if (mQueue.size() == 0 || !mPolicy.servesModel() || !mTerm.isActive()) {
            return;
        }
        List<AttemptSpec> waiting = mQueue.ordered();
        waiting.stream().filter(w -> !isReady(w)).forEach(w -> mStalled.add(w.id()));
        mLoadPlanner.planLoads(now, waiting, mPolicy, orders);
    }

    /**
     * Returns the attempts that run on the backend server.
     *
     * @return a copy, by attempt
     */
    public Map<String, AttemptSpec> runningAttempts() {
        return mRunning.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().attempt()));
    }

    /**
     * Returns how many attempts wait.
     *
     * @return the queue's length
     */
    public int queuedCount() {
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
        out.put("fencing", mLoadPlanner.fencingNumber());
        out.put("reign", mTerm.toString());
        out.put("queued", mQueue.size());
        out.put("running", mRunning.size());
        out.put("service", mPolicy.name());
        return out;
    }
}
