package org.fescuehollow.server.suspects;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Knows which requests are suspected of crashing backend servers.
 *
 * <p>Used on the node's loop.
 */
public final class SuspectsService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "suspects";

    private static final Logger LOG = System.getLogger(SuspectsService.class.getName());
    private static final int SENDS = 40;

    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final CrashSuspects mSuspects = new CrashSuspects();
    private final List<Consumer<List<CrashSuspects.Finding>>> mListeners = new ArrayList<>();
    private final Map<Long, Integer> mToSend = new LinkedHashMap<>();

    /**
     * Creates the service.
     *
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public SuspectsService(NodeLoop loop, Metrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {}

    /**
     * Takes a crash of a backend server.
     *
     * @param inFlight digests of the requests that ran on it
     */
    public void crashed(Collection<Long> inFlight) {
        mMetrics.event("server_crashed");
        List<CrashSuspects.Finding> findings = mSuspects.recordCrash(mLoop.now(), inFlight);
        findings.forEach(this::noteNews);
        mListeners.forEach(l -> l.accept(findings));
    }

    /**
     * Registers an action for each crash seen by this node.
     *
     * @param listener takes the findings that have changed
     */
    public void onCrash(Consumer<List<CrashSuspects.Finding>> listener) {
        mListeners.add(listener);
    }

    /**
     * Takes another node's finding.
     *
     * @param finding the finding in this node's time
     */
    public void merge(CrashSuspects.Finding finding) {
        mSuspects.merge(finding).ifPresent(this::noteNews);
    }

    private void noteNews(CrashSuspects.Finding finding) {
        mToSend.put(finding.digest(), SENDS);
        if (finding.crashes() == CrashSuspects.CRASH_LIMIT) {
            mMetrics.event("crashing_request_found");
            LOG.log(
                    Level.WARNING,
                    "requests with digest "
                            + Long.toHexString(finding.digest())
                            + " are refused: they crashed "
                            + finding.crashes()
                            + " backend servers");
        }
    }

    /**
     * Returns findings to send along with a message.
     *
     * @param limit the most to return
     * @return findings, each returned a bounded number of times
     */
    public List<CrashSuspects.Finding> news(int limit) {
        if (mToSend.isEmpty()) {
            return List.of();
        }
        List<CrashSuspects.Finding> news =
                mSuspects.findings().stream()
                        .filter(f -> mToSend.containsKey(f.digest()))
                        .sorted(Comparator.comparing(f -> -mToSend.get(f.digest())))
                        .limit(limit)
                        .toList();
        news.forEach(f -> mToSend.computeIfPresent(f.digest(), (d, n) -> n > 1 ? n - 1 : null));
        return news;
    }

    /**
     * Returns how many servers crashed on a request.
     *
     * @param digest the request's digest
     * @return zero if none is known
     */
    public int count(long digest) {
        return mSuspects.crashCount(mLoop.now(), digest);
    }

    @Override
    public void stop() {}

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mSuspects.findings().forEach(f -> out.put(Long.toHexString(f.digest()), f.crashes()));
        return out;
    }
}
