package org.fescuehollow.dispatch;

import org.fescuehollow.catalog.EngineSpec;

/**
 * How well the engines of a service suit one request at one moment.
 *
 * <p>What depends on the request alone is worked out once, since all engines are compared. Not safe
 * for concurrent use.
 */
final class EngineFit {
    /** Estimated delay that each running request adds to the decoding steps of the others. */
    private static final double MILLIS_PER_RUNNING_REQUEST = 4.0;

    /** Engines preempt requests when more than this share of the KV cache is in use. */
    private static final double MAX_KV_CACHE_SHARE = 0.92;

    /** Score penalty of an engine in another failure domain: the network round trip. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 3;

    /** Score penalty of an engine that fails all requests; about the latency objective. */
    private static final double FAILURE_PENALTY_MILLIS = 1_500;

    /** Share of the objective for prefill; the rest covers network and first decoding step. */
    private static final double PREFILL_OBJECTIVE_SHARE = 0.8;

    /** Approximate time until a requested replica can serve. */
    private static final double REPLICA_LOAD_MILLIS = 300;

    /** Backlog that an engine may have even for a request that has missed its objective. */
    private static final double MIN_BACKLOG_LIMIT_MILLIS = 150;

    /** Score of a plain service's server that runs as many requests as it has slots. */
    private static final double FULL_SERVER_MILLIS = 40.0;

    private final DispatchRequest mRequest;
    private final PromptPrefix mPrefix;
    private final PrefillThroughput mThroughput;
    private final String mDomain;
    private final long mNow;
    private final long mKvCacheTokens;
    private final double mRemainingObjectiveMillis;

    EngineFit(
            DispatchRequest request,
            EngineSpec spec,
            PrefillThroughput throughput,
            String domain,
            long now) {
        mRequest = request;
        mPrefix = PromptPrefix.of(request.adapter(), request.promptSegments());
        mThroughput = throughput;
        mDomain = domain;
        mNow = now;
        mKvCacheTokens = spec.kvCacheTokens();
        double objective =
                (request.objectiveNanos() - request.arrivalNanos()) / 1e6 * PREFILL_OBJECTIVE_SHARE;
        mRemainingObjectiveMillis = objective - (now - request.arrivalNanos()) / 1e6;
    }

    /** Returns whether an engine should get no further request like this one now. */
    boolean isFull(EngineLoad load) {
        return mRequest.needsModelEngine() && excessBacklogMillis(load) > 0 || lacksCapacity(load);
    }

    /** Returns whether an engine will take the request before a replica could. */
    boolean clearsBacklogSoon(EngineLoad load) {
        return !lacksCapacity(load) && excessBacklogMillis(load) < REPLICA_LOAD_MILLIS;
    }

    private boolean lacksCapacity(EngineLoad load) {
        EngineLoad.Work work = load.totalWork(mNow);
        int slots = load.engine().slots();
        boolean noSlot = slots > 0 && work.running() >= slots;
        boolean noKvCache =
                mRequest.needsModelEngine()
                        && work.running() > 0
                        && work.kvCacheTokens() + mRequest.kvCacheTokens()
                                > mKvCacheTokens * MAX_KV_CACHE_SHARE;
        return noSlot || noKvCache;
    }

    /** Returns the prefill backlog minus the backlog that the request's objective allows. */
    private double excessBacklogMillis(EngineLoad load) {
        long pendingTokens = load.totalWork(mNow).pendingPrefillTokens();
        if (pendingTokens <= 0) {
            return 0;
        }
        double backlogLimit =
                Math.max(
                        MIN_BACKLOG_LIMIT_MILLIS,
                        mRemainingObjectiveMillis
                                - mThroughput.prefillMillis(
                                        load.uncachedTokens(mRequest, mPrefix)));
        return mThroughput.prefillMillis(pendingTokens) - backlogLimit;
    }

    /** Returns the estimated delay of the request on an engine, in milliseconds. */
    double score(EngineLoad load) {
        EngineLoad.Work work = load.totalWork(mNow);
        double penalty = load.engine().domain().equals(mDomain) ? 0 : CROSS_DOMAIN_PENALTY_MILLIS;
        return workMillis(load, work)
                + work.running() * MILLIS_PER_RUNNING_REQUEST
                + penalty
                + load.health().failureRate(mNow) * FAILURE_PENALTY_MILLIS;
    }

    private double workMillis(EngineLoad load, EngineLoad.Work work) {
        return mRequest.needsModelEngine()
                ? mThroughput.prefillMillis(
                        work.pendingPrefillTokens() + load.uncachedTokens(mRequest, mPrefix))
                : work.running() * FULL_SERVER_MILLIS / Math.max(1, load.engine().slots());
    }
}
