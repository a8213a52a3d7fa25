package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.ResidencyTable;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final ResidencyTable mResidency = new ResidencyTable();
    private final Dispatcher mDispatcher = new Dispatcher("north", mResidency);
    private int mCalls;

    private static Engine engine(String id, String domain, boolean draining) {
        return new Engine(
                id, 1, "llm", "10.0.0.1", 80, domain, 4, draining, 0, Set.of("m"), Map.of());
    }

    private void engines(Engine... engines) {
        EngineSpec spec = new EngineSpec(4, 50_000, 2, Map.of());
        mDispatcher.engines(List.of(engines), s -> Optional.of(spec));
    }

    private void held(String engine, Map<AdapterKey, Long> adapters) {
        mResidency.onHolderUpdate(engine, "node", new Holding(1, adapters, Set.of(), 0, 1), 0);
    }

    private CallNeeds call(AdapterKey adapter, int tokens) {
        return new CallNeeds(
                "call-" + mCalls++,
                "llm",
                adapter,
                0,
                tokens,
                50,
                List.of(new PromptPart("p", tokens / 2)),
                0,
                0,
                SECOND,
                5 * SECOND,
                false);
    }

    private String sent(CallNeeds call, long now) {
        Placement p = mDispatcher.place(call, Set.of(), now);
        then(p).isInstanceOf(Placement.Send.class);
        String engine = ((Placement.Send) p).engine();
        mDispatcher.sent(engine, call, now);
        return engine;
    }

    @Test
    void place_waitsWithoutAnyServer() {
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.NO_SERVER, Optional.empty()));
    }

    @Test
    void place_asksAHeldEngineToLoadAnAbsentAdapter() {
        engines(engine("e1", "north", false), engine("e2", "south", false));
        held("e2", Map.of());
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
    }

    @Test
    void place_returnsAnAdapterToAFullEngineThatKeepsACopy() {
        // GIVEN an engine that held the adapter and has no place now, and two with room
        engines(
                engine("e1", "north", false),
                engine("e2", "north", false),
                engine("e3", "north", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of());
        held("e3", Map.of());
        mResidency.onHolderUpdate("e1", "node", new Holding(1, Map.of(), Set.of(), 0, 0), 0);
        // THEN it is to come back there
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e1")));
    }

    @Test
    void place_waitsForTheEngineThatIsLoadingTheAdapter() {
        // GIVEN an adapter on its way to one engine while another has room
        engines(engine("e1", "north", false), engine("e2", "south", false));
        held("e1", Map.of());
        mResidency.onHolderUpdate(
                "e2", "node", new Holding(1, Map.of(), Set.of(ADAPTER), 1, -3), 0);
        // THEN it isn't asked for a second time
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
    }

    @Test
    void place_neverChoosesADrainingEngine() {
        engines(engine("e1", "north", true), engine("e2", "south", false));
        then(sent(call(new AdapterKey("m", ""), 100), 0)).isEqualTo("e2");
    }

    @Test
    void place_prefersTheEngineThatKeepsThePrompt() {
        engines(engine("e1", "south", false), engine("e2", "south", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of(ADAPTER, 1L));
        CallNeeds first = call(ADAPTER, 9_000);
        String engine = sent(first, 0);
        mDispatcher.ended(engine, first);
        then(sent(call(ADAPTER, 9_000), 0)).isEqualTo(engine);
    }

    @Test
    void place_spreadsABurstOverTheEnginesThatHaveTheAdapter() {
        engines(engine("e1", "south", false), engine("e2", "south", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of(ADAPTER, 1L));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(sent(call(ADAPTER, 9_000), 0));
        }
        then(used).containsExactlyInAnyOrder("e1", "e2");
    }

    /** Four requests at once for an adapter that a single engine has, beside an idle engine. */
    private List<Optional<String>> copiesAskedFor(boolean frequent) {
        engines(engine("e1", "south", false), engine("e2", "south", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of());
        List<Optional<String>> more = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            CallNeeds c = call(ADAPTER, 9_000);
            if (frequent || i == 3) {
                mDispatcher.arrived(c, 0);
            }
            Placement.Send s = (Placement.Send) mDispatcher.place(c, Set.of(), 0);
            mDispatcher.sent(s.engine(), c, 0);
            more.add(s.loadOn());
        }
        return more;
    }

    @Test
    void place_asksForOneMoreCopyWhenAllThatHaveItAreBehind() {
        then(copiesAskedFor(true)).contains(Optional.of("e2"));
    }

    @Test
    void place_asksForNoCopyOfARareAdapter() {
        // GIVEN an engine that is behind for other reasons than this node's one request
        // THEN the adapter stays where it is
        then(copiesAskedFor(false)).containsOnly(Optional.empty());
    }

    @Test
    void place_waitsForAnEngineThatCatchesUpBeforeACopyComes() {
        // GIVEN an engine with the adapter that has a little too much to read, and an idle one
        engines(engine("e1", "south", false), engine("e2", "south", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of());
        for (int i = 0; i < 3; i++) {
            sent(call(ADAPTER, 11_000), 0);
        }
        // THEN no copy is asked for
        then(mDispatcher.place(call(ADAPTER, 11_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.empty()));
        // WHEN it has much more to read
        EngineLoad.Work work = new EngineLoad.Work(0, 60_000, 0);
        mDispatcher.others("e1", "other", work, Set.of(ADAPTER), 0);
        // THEN the idle one is asked to load it
        then(mDispatcher.place(call(ADAPTER, 11_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.of("e2")));
    }

    @Test
    void place_waitsWhenMemoryIsFull() {
        engines(engine("e1", "south", false));
        AdapterKey base = new AdapterKey("m", "");
        sent(call(base, 30_000), 0);
        then(mDispatcher.place(call(base, 30_000), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ENGINES_FULL, Optional.empty()));
    }

    @Test
    void place_countsWhatOtherNodesSentUntilItIsOld() {
        engines(engine("e1", "south", false));
        AdapterKey base = new AdapterKey("m", "");
        mDispatcher.others("e1", "node-2", new EngineLoad.Work(4, 0, 0), Set.of(), 0);
        then(mDispatcher.place(call(base, 100), Set.of(), 0)).isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(call(base, 100), Set.of(), 2 * SECOND))
                .isInstanceOf(Placement.Send.class);
    }

    @Test
    void place_leavesAnUnreachableEngineAloneForAWhile() {
        engines(engine("e1", "south", false));
        mDispatcher.health("e1").orElseThrow().unreachable(0);
        AdapterKey base = new AdapterKey("m", "");
        then(mDispatcher.place(call(base, 100), Set.of(), SECOND / 10))
                .isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(call(base, 100), Set.of(), SECOND))
                .isInstanceOf(Placement.Send.class);
    }

    @Test
    void place_asksAnotherEngineForAnAdapterThatAFailingOneHas() {
        // GIVEN an engine that fails most requests while its health answers are good
        engines(
                engine("e1", "north", false),
                engine("e2", "north", false),
                engine("e3", "north", false));
        held("e1", Map.of(ADAPTER, 1L));
        held("e2", Map.of());
        for (int i = 0; i < 4; i++) {
            mDispatcher.health("e1").orElseThrow().failed(0);
        }
        // THEN its adapter is loaded elsewhere
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), 1))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
        // AND after some time it is tried again
        then(mDispatcher.place(call(ADAPTER, 100), Set.of(), SECOND / 2))
                .isInstanceOf(Placement.Wait.class);
        then(mDispatcher.place(call(new AdapterKey("m", ""), 100), Set.of("e2", "e3"), 9 * SECOND))
                .isEqualTo(new Placement.Send("e1", Optional.empty()));
    }

    @Test
    void place_prefersServersThatDoNotFail() {
        engines(engine("e1", "north", false), engine("e2", "south", false));
        mDispatcher.health("e1").orElseThrow().failed(0);
        mDispatcher.health("e1").orElseThrow().failed(0);
        then(sent(call(new AdapterKey("m", ""), 100), 1)).isEqualTo("e2");
    }

    @Test
    void isInUse_forTheRequestsOfANodeThatFellSilent() {
        // GIVEN a node that is cut off while its requests run
        engines(engine("e1", "north", false));
        EngineLoad.Work work = new EngineLoad.Work(1, 0, 100);
        mDispatcher.others("e1", "cut-off", work, Set.of(ADAPTER), 0);
        // THEN its adapters stay in use for as long as most requests run
        then(mDispatcher.isInUse("e1", ADAPTER, 5 * SECOND)).isTrue();
        then(mDispatcher.isInUse("e1", ADAPTER, 7 * SECOND)).isFalse();
    }

    @Test
    void isInUse_endsWhenAKilledNodeIsBack() {
        engines(engine("e1", "north", false));
        EngineLoad.Work work = new EngineLoad.Work(1, 0, 100);
        mDispatcher.others("e1", "killed", work, Set.of(ADAPTER), 0);
        mDispatcher.others("e1", "killed", EngineLoad.Work.NONE, Set.of(), SECOND);
        then(mDispatcher.isInUse("e1", ADAPTER, SECOND)).isFalse();
    }
}
