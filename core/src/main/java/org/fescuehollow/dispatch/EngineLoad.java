package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;

/**
 * The work of this node and of the other nodes on one engine.
 *
 * <p>Not safe for concurrent use.
 */
public final class EngineLoad {
    /** How long a report of another node counts as current; nodes report every 200 ms. */
    private static final long REPORT_TTL_NANOS = Duration.ofMillis(1_000).toNanos();

    /**
     * How long requests of a silent node are assumed to run: it may only be cut off from its peers.
     * Most requests are done within this time. A node that restarts after a crash reports at once
     * that it has no work.
     */
    private static final long SILENT_NODE_TTL_NANOS = Duration.ofMillis(6_000).toNanos();

    private Engine mEngine;
    private final EngineHealth mHealth = new EngineHealth();
    private final PrefixCacheEstimate mPrefixCache = new PrefixCacheEstimate();
    private final Map<String, InFlightRequest> mOwnRequests = new HashMap<>();
    private final Map<String, WorkReport> mPeerReports = new HashMap<>();
    private WorkReport mFleetReport = new WorkReport(Work.NONE, Set.of(), Long.MIN_VALUE / 2);
    private Work mOwnWork = Work.NONE;
    private Work mTotalWork = Work.NONE;
    private long mTotalWorkExpiryNanos = Long.MIN_VALUE;

    /**
     * One node's work on an engine.
     *
     * @param running requests that were sent and haven't ended
     * @param pendingPrefillTokens prompt tokens to prefill of the requests without a first event
     * @param kvCacheTokens KV cache that the requests use, in tokens
     */
    public record Work(int running, long pendingPrefillTokens, long kvCacheTokens) {
        /** No work. */
        public static final Work NONE = new Work(0, 0, 0);

        private boolean isNone() {
            return running == 0 && pendingPrefillTokens == 0 && kvCacheTokens == 0;
        }

        private Work minus(Work other) {
            return new Work(
                    Math.max(0, running - other.running),
                    Math.max(0, pendingPrefillTokens - other.pendingPrefillTokens),
                    Math.max(0, kvCacheTokens - other.kvCacheTokens));
        }

        private Work plus(Work other) {
            return new Work(
                    running + other.running,
                    pendingPrefillTokens + other.pendingPrefillTokens,
                    kvCacheTokens + other.kvCacheTokens);
        }
    }

    /**
     * A running request of this node, with the prefill work of its own and the backlog up to its
     * first event.
     */
    private record InFlightRequest(
            DispatchRequest request, int pendingPrefillTokens, long backlogTokens, long sentNanos) {
        private Work work() {
            return new Work(1, pendingPrefillTokens, request.kvCacheTokens());
        }
    }

    /** Tokens that the engine prefilled from sending a request to its first event, and the time. */
    record PrefillSample(long tokens, double millis) {}

    /** Work that was reported by another node, and when the report came. */
    private record WorkReport(Work work, Set<AdapterKey> adapters, long receivedNanos) {}

    EngineLoad(Engine engine) {
        mEngine = engine;
    }

    void update(Engine engine) {
        if (!engine.isSameIncarnation(mEngine)) {
            mPrefixCache.clear();
            mHealth.onRestart();
        }
        mEngine = engine;
    }

    Engine engine() {
        return mEngine;
    }

    EngineHealth health() {
        return mHealth;
    }

    int uncachedTokens(DispatchRequest request, PromptPrefix prefix) {
        return Math.max(0, request.promptTokens() - mPrefixCache.cachedTokens(prefix));
    }

    void onSent(DispatchRequest request, long kvCacheTokens, long now) {
        PromptPrefix prefix = PromptPrefix.of(request.adapter(), request.promptSegments());
        int uncached = uncachedTokens(request, prefix);
        long backlog = totalWork(now).pendingPrefillTokens() + uncached;
        putOwnRequest(new InFlightRequest(request, uncached, backlog, now));
        mPrefixCache.addPrompt(prefix, kvCacheTokens);
    }

    private void putOwnRequest(InFlightRequest inFlight) {
        removeOwnRequest(inFlight.request().id());
        mOwnRequests.put(inFlight.request().id(), inFlight);
        mOwnWork = mOwnWork.plus(inFlight.work());
    }

    private void removeOwnRequest(String id) {
        InFlightRequest inFlight = mOwnRequests.remove(id);
        if (inFlight != null) {
            mOwnWork = mOwnWork.minus(inFlight.work());
        }
        forgetTotalWork();
    }

    private void forgetTotalWork() {
        mTotalWorkExpiryNanos = Long.MIN_VALUE;
    }

    /** Records the first event of a request; returns the prefill done since it was sent. */
    Optional<PrefillSample> onFirstEvent(DispatchRequest request, long now) {
        InFlightRequest inFlight = mOwnRequests.get(request.id());
        if (inFlight == null || inFlight.backlogTokens() == 0) {
            return Optional.empty();
        }
        putOwnRequest(new InFlightRequest(request, 0, 0, inFlight.sentNanos()));
        return Optional.of(
                new PrefillSample(inFlight.backlogTokens(), (now - inFlight.sentNanos()) / 1e6));
    }

    void onEnded(DispatchRequest request) {
        removeOwnRequest(request.id());
    }

    void updatePeerWork(String node, Work work, Set<AdapterKey> adapters, long now) {
        if (!work.isNone() || !adapters.isEmpty()) {
            mPeerReports.put(node, new WorkReport(work, adapters, now));
            forgetTotalWork();
        } else if (mPeerReports.remove(node) != null) {
            forgetTotalWork();
        }
    }

    /** Updates the work of all nodes as the engine's holder reports it. */
    void updateFleetWork(Work fleetWork, long now) {
        mFleetReport = new WorkReport(fleetWork.minus(ownWork()), Set.of(), now);
        forgetTotalWork();
    }

    /** Returns this node's own work. */
    Work ownWork() {
        return mOwnWork;
    }

    /** Returns the adapters that this node's requests use. */
    Set<AdapterKey> ownAdapters() {
        return mOwnRequests.values().stream()
                .map(r -> r.request().adapter())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the work of all nodes with a current report. In a large fleet only the engine's
     * holder receives the reports of all nodes, and its summary is some seconds old.
     */
    Work totalWork(long now) {
        if (now > mTotalWorkExpiryNanos) {
            mPeerReports
                    .values()
                    .removeIf(report -> now - report.receivedNanos() > SILENT_NODE_TTL_NANOS);
            updateTotalWork(now);
        }
        return mTotalWork;
    }

    private void updateTotalWork(long now) {
        if (now - mFleetReport.receivedNanos() <= SILENT_NODE_TTL_NANOS) {
            mTotalWork = mOwnWork.plus(mFleetReport.work());
            mTotalWorkExpiryNanos = mFleetReport.receivedNanos() + SILENT_NODE_TTL_NANOS;
            return;
        }
        List<WorkReport> current =
                mPeerReports.values().stream()
                        .filter(report -> now - report.receivedNanos() <= REPORT_TTL_NANOS)
                        .toList();
        mTotalWork = current.stream().map(WorkReport::work).reduce(mOwnWork, Work::plus);
        mTotalWorkExpiryNanos =
                current.stream()
                        .mapToLong(report -> report.receivedNanos() + REPORT_TTL_NANOS)
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns whether requests of any node use an adapter, including those of silent nodes.
     * Unloading an adapter in use would block all other orders of the engine until those requests
     * end.
     */
    boolean isInUse(AdapterKey adapter, long now) {
        return ownAdapters().contains(adapter)
                || mPeerReports.values().stream()
                        .filter(report -> now - report.receivedNanos() <= SILENT_NODE_TTL_NANOS)
                        .anyMatch(report -> report.adapters().contains(adapter));
    }
}
