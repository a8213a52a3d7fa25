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
 * Schedules one backend server: which adapters it holds, which attempts run and which wait.
 *
 * <pre>{@code
 * List<Order> orders = coordinator.submit(now, attempt);
 * orders = coordinator.onFinished(now, "attempt-1");
 * }</pre>
 *
 * <p>Invariants: an adapter in use is never unloaded; an attempt starts only while its adapter is
 * resident; running attempts never exceed the batch, with at most one suspect; each attempt is
 * started, refused, declined or cancelled exactly once. For a model engine, nothing starts, loads
 * or is evicted before its first report, nor evicted in the eviction delay. Not thread-safe.
 */
public final class EngineCoordinator {
    /** A slot that changed within this time isn't removed by a report, which may be older. */
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

    /** An attempt that runs on the backend server. */
    private record RunningAttempt(AttemptSpec attempt, long startedNanos) {}

    /**
     * Creates the coordinator of one backend server.
     *
     * @param server the backend server's id
     * @param node this node's id and incarnation
     * @param policy the service's policy
     * @param evictionPolicy selects the adapter to evict
     * @param budget the source of permits for loads
     */
    public EngineCoordinator(
            String server,
            String node,
            ServicePolicy policy,
            EvictionPolicy evictionPolicy,
            LoadBudget budget) {
        mServer = requireNonBlank("server", server);
        mTerm = new CoordinatorTerm(requireNonBlank("node", node));
        mPolicy = requireNonNull("policy", policy);
        mSlots = new SlotTable(evictionPolicy);
        mLoadPlanner = new LoadPlanner(server, mSlots, requireNonNull("budget", budget));
        mTerm.begin(0, !policy.servesModel());
    }

    /**
     * Begins the term or begins it anew; for a model engine, the order requests a report.
     *
     * @param now the monotonic time in nanoseconds
     * @param evictionDelayNanos the delay of evictions, as an earlier coordinator may be active
     * @return the orders
     */
    public List<Order> beginTerm(long now, long evictionDelayNanos) {
        mTerm.begin(evictionDelayNanos, !mPolicy.servesModel());
        mLoadPlanner.cancelUnconfirmedEvictions(now, true);
        mLoadPlanner.allowEvictionFrom(now + evictionDelayNanos);
        return mTerm.hasServerState() ? List.of() : List.of(new Order.RequestReport());
    }

    /**
     * Sets the service's policy.
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
     * Handles a submitted attempt: starts, queues, declines or refuses it.
     *
     * @param now the monotonic time in nanoseconds
     * @param attempt the attempt
     * @return the orders
     */
    public List<Order> submit(long now, AttemptSpec attempt) {
        List<Order> orders = new ArrayList<>();
        Optional<Quote> declined = declineQuote(now, attempt);
        if (declined.isPresent()) {
            orders.add(new Order.Decline(attempt, declined.get()));
            return orders;
        }
        if (mQueue.size() >= mPolicy.queue()) {
            orders.add(new Order.Refuse(attempt, queueFullProblem()));
            return orders;
        }
        mQueue.offer(attempt.priority(), attempt.team(), attempt.weight(), attempt);
        return processQueue(now, orders);
    }

    /** A server is crowded if queueing here takes longer than a load on another server. */
    private Optional<Quote> declineQuote(long now, AttemptSpec attempt) {
        if (mTerm.isOver()) {
            return Optional.of(Quote.UNAVAILABLE);
        }
        if (attempt.admissionMode() == AdmissionMode.ALWAYS) {
            return Optional.empty();
        }
        double wait = mServiceTime.queueWaitNanos(mRunning.size(), mQueue.size(), mPolicy.batch());
        boolean crowded = wait > (mPolicy.servesModel() ? mLoadPlanner.meanLoadWaitNanos() : 0);
        if (!crowded && attempt.adapter().map(this::isHeldOrPending).orElse(true)) {
            return Optional.empty();
        }
        Quote quote = mLoadPlanner.quote(now, crowded, attempt, mQueue.ordered(), mPolicy);
        boolean accepts =
                attempt.admissionMode() == AdmissionMode.IF_LOADABLE
                        && !crowded
                        && Double.isFinite(quote.evictionCost());
        return accepts ? Optional.empty() : Optional.of(quote);
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
     * Handles the result of a load order.
     *
     * @param now the monotonic time in nanoseconds
     * @param adapter the adapter
     * @param ok true if the adapter is resident now
     * @return the orders
     */
    public List<Order> onLoaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        OptionalInt failures = mLoadPlanner.onLoaded(now, adapter, ok);
        if (failures.isPresent()) {
            Problem problem = shouldLoadAdapter(adapter, failures.getAsInt());
            mQueue.removeIf(a -> a.needs(adapter)).forEach(a -> refuse(a, problem, orders));
        }
        return processQueue(now, orders);
    }

    private void refuse(AttemptSpec attempt, Problem problem, List<Order> orders) {
        mStalled.remove(attempt.id());
        orders.add(new Order.Refuse(attempt, problem));
    }

    /**
     * Handles the result of an unload order; on success, the load that needed the slot begins.
     *
     * @param now the monotonic time in nanoseconds
     * @param adapter the adapter
     * @param ok true if the adapter was unloaded
     * @return the orders
     */
    public List<Order> onUnloaded(long now, AdapterRef adapter, boolean ok) {
        List<Order> orders = new ArrayList<>();
        mLoadPlanner.onUnloaded(now, adapter, ok, mTerm.isOver(), orders);
        return processQueue(now, orders);
    }

    /**
     * Handles the end of an attempt, whatever its outcome; repeated calls are ignored.
     *
     * @param now the monotonic time in nanoseconds
     * @param attemptId the attempt's id
     * @return the orders
     */
    public List<Order> onFinished(long now, String attemptId) {
        RunningAttempt r = mRunning.remove(attemptId);
        if (r == null) {
            return List.of();
        }
        r.attempt().adapter().ifPresent(a -> mSlots.unpin(a, attemptId));
        mServiceTime.record(now - r.startedNanos());
        return processQueue(now, new ArrayList<>());
    }

    /**
     * Handles an engine's refusal of an attempt because it doesn't hold the adapter.
     *
     * @param adapter the adapter
     */
    public void onAdapterMissing(AdapterRef adapter) {
        mSlots.removeIfResident(adapter);
    }

    /**
     * Cancels an attempt that hasn't started.
     *
     * @param attemptId the attempt's id
     * @return true if it was waiting and won't start; false if it runs or is unknown
     */
    public boolean cancel(String attemptId) {
        mStalled.remove(attemptId);
        return !mQueue.removeIf(a -> a.id().equals(attemptId)).isEmpty();
    }

    /**
     * Handles a report. Attempts start and loads begin only after the first report of a term.
     *
     * @param now the monotonic time in nanoseconds
     * @param requestedAt when the report was requested, in monotonic nanoseconds
     * @param report the report
     * @return the orders
     */
    public List<Order> onReport(long now, long requestedAt, EngineReport report) {
        if (mTerm.updateIncarnation(report.incarnation())) {
            mSlots.clear();
        }
        List<Order> orders = new ArrayList<>();
        mSlots.reconcile(report, now - MAX_REPORT_DELAY.toNanos(), now);
        boolean checksFencing = mPolicy.fencing() == FencingSupport.CHECKED;
        if (!mTerm.hasServerState()) {
            mLoadPlanner.setFencingNumber(mTerm.takeFencingNumber(report.highestFencing()));
            addClaim(checksFencing, orders);
        } else if (checksFencing && report.highestFencing() > mLoadPlanner.fencingNumber()) {
            mTerm.supersede(now);
            declineAll(orders);
        }
        if (mSlots.hasForeignRequests()) {
            mLoadPlanner.allowEvictionFrom(now + mTerm.evictionDelayNanos());
        }
        mLoadPlanner.confirmEvictions(requestedAt, now, report, mQueue.ordered(), orders);
        return processQueue(now, orders);
    }

    private void addClaim(boolean checksFencing, List<Order> orders) {
        mSlots.anyResident()
                .filter(a -> checksFencing)
                .ifPresent(a -> orders.add(new Order.Claim(a, mLoadPlanner.fencingNumber())));
    }

    private void declineAll(List<Order> orders) {
        mLoadPlanner.cancelUnconfirmedEvictions(0, true);
        mQueue.removeIf(a -> true)
                .forEach(
                        a -> {
                            mStalled.remove(a.id());
                            orders.add(new Order.Decline(a, Quote.UNAVAILABLE));
                        });
    }

    /**
     * Handles timeouts of attempts, evictions and a superseded term, and begins possible loads.
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
     * Ends the term: declines waiting attempts, lets running ones finish and starts none.
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
        mQueue.removeIf(a -> now - a.deadlineNanos() >= 0)
                .forEach(a -> refuse(a, shouldMeetDeadline(a.waitedMillis(now)), orders));
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

    private boolean mayStart(AttemptSpec attempt) {
        return isReady(attempt)
                && !(attempt.suspect()
                        && mRunning.values().stream().anyMatch(r -> r.attempt().suspect()));
    }

    private boolean isReady(AttemptSpec attempt) {
        return attempt.adapter().map(mSlots::isResident).orElse(true);
    }

    private void start(long now, AttemptSpec attempt, List<Order> orders) {
        attempt.adapter().ifPresent(a -> mSlots.pin(a, attempt, now));
        mRunning.put(attempt.id(), new RunningAttempt(attempt, now));
        boolean stalled = mStalled.remove(attempt.id());
        orders.add(new Order.Start(attempt, now - attempt.arrivedNanos(), stalled));
    }

    private void planLoads(long now, List<Order> orders) {
        if (mQueue.size() == 0 || !mPolicy.servesModel() || !mTerm.isActive()) {
            return;
        }
        List<AttemptSpec> waiting = mQueue.ordered();
        waiting.stream().filter(a -> !isReady(a)).forEach(a -> mStalled.add(a.id()));
        mLoadPlanner.planLoads(now, waiting, mPolicy, orders);
    }

    /**
     * Returns the attempts running on the backend server.
     *
     * @return a copy, by the attempt's id
     */
    public Map<String, AttemptSpec> runningAttempts() {
        return mRunning.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().attempt()));
    }

    /**
     * Returns how many attempts wait.
     *
     * @return the length of the queue
     */
    public int queuedCount() {
        return mQueue.size();
    }

    /**
     * Returns whether no attempt runs or waits here.
     *
     * @return true if there is none
     */
    public boolean isIdle() {
        return mRunning.isEmpty() && mQueue.size() == 0;
    }

    /**
     * Returns the state for the operators' dump.
     *
     * @return strings, numbers and maps by key
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
