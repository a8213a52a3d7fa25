package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;

/**
 * The work that this node and the others have on one engine.
 *
 * <p>Not safe for concurrent use.
 */
public final class EngineLoad {
    /** What another node says is believed this long; nodes speak each 200 ms. */
    private static final long REPORT_TTL_NANOS = Duration.ofMillis(1_000).toNanos();

    /**
     * Requests of a node that fell silent may still run, as when it is cut off from others; most
     * are done within this time. One that was killed and is back tells so at once.
     */
    private static final long SILENT_NODE_TTL_NANOS = Duration.ofMillis(6_000).toNanos();

    private Engine mEngine;
    private final EngineHealth mHealth = new EngineHealth();
    private final PrefixCacheEstimate mPrefixCache = new PrefixCacheEstimate();
    private final Map<String, InFlightRequest> mOwnRequests = new HashMap<>();
    private final Map<String, WorkReport> mPeerReports = new HashMap<>();
    private WorkReport mFleetReport = new WorkReport(Work.NONE, Set.of(), Long.MIN_VALUE / 2);

    /**
     * One node's work on an engine.
     *
     * @param running requests that were sent and haven't ended
     * @param pendingPrefillTokens prompt tokens of those without a first answer
     * @param kvCacheTokens memory that they take
     */
    public record Work(int running, long pendingPrefillTokens, long kvCacheTokens) {
        /** No work. */
        public static final Work NONE = new Work(0, 0, 0);

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

    /** A request of this node that runs, and what was to be read up to its first answer. */
    private record InFlightRequest(
            DispatchRequest request,
            int pendingPrefillTokens,
            long backlogTokens,
            long sentNanos) {}

    /** What a first answer tells of the engine's reading. */
    record PrefillSample(long tokens, double millis) {}

    /** Another node's work and when it was heard. */
    private record WorkReport(Work work, Set<AdapterKey> adapters, long receivedNanos) {}

    EngineLoad(Engine engine) {
        mEngine = engine;
    }

    void update(Engine engine) {
        if (!engine.isSameIncarnation(mEngine)) {
            mPrefixCache.clear();
        }
        mEngine = engine;
    }

    Engine engine() {
        return mEngine;
    }

    EngineHealth health() {
        return mHealth;
    }

    int uncachedTokens(DispatchRequest call) {
        return Math.max(
                0,
                call.promptTokens()
                        - mPrefixCache.cachedTokens(call.adapter(), call.promptSegments()));
    }

    void onSent(DispatchRequest call, long capacity, long now) {
        int unread = uncachedTokens(call);
        long ahead = totalWork(now).pendingPrefillTokens() + unread;
        mOwnRequests.put(call.id(), new InFlightRequest(call, unread, ahead, now));
        mPrefixCache.addPrompt(call.adapter(), call.promptSegments(), capacity);
    }

    /** Takes a request's first answer; tells what was read until then. */
    Optional<PrefillSample> onFirstEvent(DispatchRequest call, long now) {
        InFlightRequest r = mOwnRequests.get(call.id());
        if (r == null || r.backlogTokens() == 0) {
            return Optional.empty();
        }
        mOwnRequests.put(call.id(), new InFlightRequest(call, 0, 0, r.sentNanos()));
        return Optional.of(new PrefillSample(r.backlogTokens(), (now - r.sentNanos()) / 1e6));
    }

    void onEnded(DispatchRequest call) {
        mOwnRequests.remove(call.id());
    }

    void updatePeerWork(String node, Work work, Set<AdapterKey> adapters, long now) {
        if (work.equals(Work.NONE) && adapters.isEmpty()) {
            mPeerReports.remove(node);
        } else {
            mPeerReports.put(node, new WorkReport(work, adapters, now));
        }
    }

    /** Takes what the engine's holder says of all nodes' work. */
    void updateFleetWork(Work all, long now) {
        mFleetReport = new WorkReport(all.minus(ownWork()), Set.of(), now);
    }

    /** Returns this node's own work. */
    Work ownWork() {
        return new Work(
                mOwnRequests.size(),
                mOwnRequests.values().stream()
                        .mapToLong(InFlightRequest::pendingPrefillTokens)
                        .sum(),
                mOwnRequests.values().stream().mapToLong(r -> r.request().kvCacheTokens()).sum());
    }

    /** Returns the adapters that this node's requests use. */
    Set<AdapterKey> ownAdapters() {
        return mOwnRequests.values().stream()
                .map(r -> r.request().adapter())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the work of all nodes that were heard lately. In a large fleet only the engine's
     * holder hears them all, and what it says is some seconds old.
     */
    Work totalWork(long now) {
        mPeerReports.values().removeIf(s -> now - s.receivedNanos() > SILENT_NODE_TTL_NANOS);
        if (now - mFleetReport.receivedNanos() <= SILENT_NODE_TTL_NANOS) {
            return ownWork().plus(mFleetReport.work());
        }
        return mPeerReports.values().stream()
                .filter(s -> now - s.receivedNanos() <= REPORT_TTL_NANOS)
                .map(WorkReport::work)
                .reduce(ownWork(), Work::plus);
    }

    /**
     * Tells whether requests of any node use an adapter, those of silent nodes included: an unload
     * of an adapter in use keeps the engine from all other orders until the runs end.
     */
    boolean isInUse(AdapterKey adapter, long now) {
        return ownAdapters().contains(adapter)
                || mPeerReports.values().stream()
                        .filter(s -> now - s.receivedNanos() <= SILENT_NODE_TTL_NANOS)
                        .anyMatch(s -> s.adapters().contains(adapter));
    }
}
