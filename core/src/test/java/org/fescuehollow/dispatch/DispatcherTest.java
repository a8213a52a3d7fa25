package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.ResidencyTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DispatcherTest {
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final ResidencyTable mResidency = new ResidencyTable();
    private final Dispatcher mDispatcher = new Dispatcher("north", mResidency);
    private int mRequestCount;

    private static Engine engine(String id, String domain, boolean draining) {
        return new Engine(
                id, 1, "llm", "v1", "10.0.0.1", 80, domain, 4, draining, 0, Set.of("m"), Map.of());
    }

    private void updateEngines(Engine... engines) {
        EngineSpec spec = new EngineSpec(4, 50_000, 2, Map.of());
        mDispatcher.updateEngines(List.of(engines), s -> Optional.of(spec));
    }

    private void reportResident(String engine, Map<AdapterKey, Long> adapters) {
        mResidency.onHolderUpdate(engine, "node", new Holding(1, adapters, Set.of(), 0, 1), 0);
    }

    private DispatchRequest request(AdapterKey adapter, int tokens) {
        return new DispatchRequest(
                "call-" + mRequestCount++,
                "llm",
                adapter,
                0,
                tokens,
                50,
                List.of(new PromptSegment("p", tokens / 2)),
                0,
                0,
                SECOND_NANOS,
                5 * SECOND_NANOS,
                false,
                Optional.empty());
    }

    private String placeAndSend(DispatchRequest request, long now) {
        Placement p = mDispatcher.place(request, Set.of(), now);
        then(p).isInstanceOf(Placement.Send.class);
        String engine = ((Placement.Send) p).engine();
        mDispatcher.onSent(engine, request, now);
        return engine;
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 75, 300})
    void place_looksUpTheCapacityOnceForAllEngines(int engines) {
        AtomicInteger lookups = new AtomicInteger();
        EngineSpec spec = new EngineSpec(4, 50_000, 2, Map.of());
        mDispatcher.updateEngines(
                IntStream.range(0, engines).mapToObj(i -> engine("e" + i, "north", false)).toList(),
                s -> {
                    lookups.incrementAndGet();
                    return Optional.of(spec);
                });
        mDispatcher.place(request(new AdapterKey("m", ""), 100), Set.of(), 0);
        then(lookups).hasValue(1);
    }

    @Test
    void place_waitsWithoutServers() {
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.NO_SERVER, Optional.empty()));
    }

    @Test
    void place_loadsAbsentAdapterOnEngineWithHolder() {
        updateEngines(engine("e1", "north", false), engine("e2", "south", false));
        reportResident("e2", Map.of());
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
    }

    @Test
    void place_reloadsAdapterOnFullEngineWithCopy() {
        // GIVEN a full engine that had the adapter loaded before, and two with free slots
        updateEngines(
                engine("e1", "north", false),
                engine("e2", "north", false),
                engine("e3", "north", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of());
        reportResident("e3", Map.of());
        mResidency.onHolderUpdate("e1", "node", new Holding(1, Map.of(), Set.of(), 0, 0), 0);
        // THEN the adapter is loaded on the full engine, which has a local copy
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e1")));
    }

    @Test
    void place_waitsForEngineLoadingAdapter() {
        // GIVEN an adapter that one engine is loading while another has a free slot
        updateEngines(engine("e1", "north", false), engine("e2", "south", false));
        reportResident("e1", Map.of());
        mResidency.onHolderUpdate(
                "e2", "node", new Holding(1, Map.of(), Set.of(ADAPTER), 1, -3), 0);
        // THEN no second load is requested
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
    }

    @Test
    void place_neverChoosesDrainingEngine() {
        updateEngines(engine("e1", "north", true), engine("e2", "south", false));
        then(placeAndSend(request(new AdapterKey("m", ""), 100), 0)).isEqualTo("e2");
    }

    @Test
    void place_prefersEngineWithCachedPrompt() {
        updateEngines(engine("e1", "south", false), engine("e2", "south", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of(ADAPTER, 1L));
        DispatchRequest first = request(ADAPTER, 9_000);
        String engine = placeAndSend(first, 0);
        mDispatcher.onEnded(engine, first);
        then(placeAndSend(request(ADAPTER, 9_000), 0)).isEqualTo(engine);
    }

    @Test
    void place_spreadsBurstOverEnginesWithAdapter() {
        updateEngines(engine("e1", "south", false), engine("e2", "south", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of(ADAPTER, 1L));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(placeAndSend(request(ADAPTER, 9_000), 0));
        }
        then(used).containsExactlyInAnyOrder("e1", "e2");
    }

    /**
     * Places four simultaneous requests for an adapter that one engine has, next to an idle engine;
     * returns the load target of each.
     */
    private List<Optional<String>> replicaTargets(boolean isFrequent) {
        updateEngines(engine("e1", "south", false), engine("e2", "south", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of());
        List<Optional<String>> targets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            DispatchRequest request = request(ADAPTER, 9_000);
            if (isFrequent || i == 3) {
                mDispatcher.onArrival(request, 0);
            }
            Placement.Send s = (Placement.Send) mDispatcher.place(request, Set.of(), 0);
            mDispatcher.onSent(s.engine(), request, 0);
            targets.add(s.loadTarget());
        }
        return targets;
    }

    @Test
    void place_requestsReplicaWhenEnginesWithAdapterAreBusy() {
        then(replicaTargets(true)).contains(Optional.of("e2"));
    }

    @Test
    void place_requestsNoReplicaOfRareAdapter() {
        // GIVEN an engine whose load comes from other requests than the one that arrived here
        // THEN no replica of the adapter is requested
        then(replicaTargets(false)).containsOnly(Optional.empty());
    }

    @Test
    void place_waitsForBacklogShorterThanReplicaLoad() {
        // GIVEN an engine with the adapter whose prefill backlog is slightly too long, and an idle
        // one
        updateEngines(engine("e1", "south", false), engine("e2", "south", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of());
        for (int i = 0; i < 3; i++) {
            placeAndSend(request(ADAPTER, 11_000), 0);
        }
        // THEN no replica is requested
        then(mDispatcher.place(request(ADAPTER, 11_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.empty()));
        // WHEN its backlog is much longer
        EngineLoad.Work work = new EngineLoad.Work(0, 60_000, 0);
        mDispatcher.updatePeerWork("e1", "other", work, Set.of(ADAPTER), 0);
        // THEN a load is requested from the idle engine
        then(mDispatcher.place(request(ADAPTER, 11_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.of("e2")));
    }

    @Test
    void place_waitsWhenKvCacheIsFull() {
        updateEngines(engine("e1", "south", false));
        AdapterKey base = new AdapterKey("m", "");
        placeAndSend(request(base, 30_000), 0);
        then(mDispatcher.place(request(base, 30_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.empty()));
    }

    @Test
    void place_countsWorkOfPeersUntilReportExpires() {
        updateEngines(engine("e1", "south", false));
        AdapterKey base = new AdapterKey("m", "");
        mDispatcher.updatePeerWork("e1", "node-2", new EngineLoad.Work(4, 0, 0), Set.of(), 0);
        then(mDispatcher.place(request(base, 100), Set.of(), 0)).isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(request(base, 100), Set.of(), 2 * SECOND_NANOS))
                .isInstanceOf(Placement.Send.class);
    }

    @Test
    void place_avoidsUnreachableEngineDuringBackoff() {
        updateEngines(engine("e1", "south", false));
        mDispatcher.health("e1").orElseThrow().onUnreachable(0);
        AdapterKey base = new AdapterKey("m", "");
        then(mDispatcher.place(request(base, 100), Set.of(), SECOND_NANOS / 10))
                .isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(request(base, 100), Set.of(), SECOND_NANOS))
                .isInstanceOf(Placement.Send.class);
    }

    @Test
    void place_loadsAdapterOfFailingEngineElsewhere() {
        // GIVEN an engine that fails most requests but reports good health
        updateEngines(
                engine("e1", "north", false),
                engine("e2", "north", false),
                engine("e3", "north", false));
        reportResident("e1", Map.of(ADAPTER, 1L));
        reportResident("e2", Map.of());
        for (int i = 0; i < 4; i++) {
            mDispatcher.health("e1").orElseThrow().onFailure(0);
        }
        // THEN its adapter is loaded on another engine
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), 1))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
        // AND the failing engine gets requests again after some time
        then(mDispatcher.place(request(ADAPTER, 100), Set.of(), SECOND_NANOS / 2))
                .isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(
                        request(new AdapterKey("m", ""), 100),
                        Set.of("e2", "e3"),
                        9 * SECOND_NANOS))
                .isEqualTo(new Placement.Send("e1", Optional.empty()));
    }

    @Test
    void place_prefersServersWithoutFailures() {
        updateEngines(engine("e1", "north", false), engine("e2", "south", false));
        mDispatcher.health("e1").orElseThrow().onFailure(0);
        mDispatcher.health("e1").orElseThrow().onFailure(0);
        then(placeAndSend(request(new AdapterKey("m", ""), 100), 1)).isEqualTo("e2");
    }

    @Test
    void isInUse_includesSilentNode() {
        // GIVEN a node that stops reporting while its requests run
        updateEngines(engine("e1", "north", false));
        EngineLoad.Work work = new EngineLoad.Work(1, 0, 100);
        mDispatcher.updatePeerWork("e1", "cut-off", work, Set.of(ADAPTER), 0);
        // THEN its adapters count as in use until most requests have ended
        then(mDispatcher.isInUse("e1", ADAPTER, 5 * SECOND_NANOS)).isTrue();
        then(mDispatcher.isInUse("e1", ADAPTER, 7 * SECOND_NANOS)).isFalse();
    }

    @Test
    void isInUse_endsWhenRestartedNodeReports() {
        updateEngines(engine("e1", "north", false));
        EngineLoad.Work work = new EngineLoad.Work(1, 0, 100);
        mDispatcher.updatePeerWork("e1", "killed", work, Set.of(ADAPTER), 0);
        mDispatcher.updatePeerWork("e1", "killed", EngineLoad.Work.NONE, Set.of(), SECOND_NANOS);
        then(mDispatcher.isInUse("e1", ADAPTER, SECOND_NANOS)).isFalse();
    }
}
