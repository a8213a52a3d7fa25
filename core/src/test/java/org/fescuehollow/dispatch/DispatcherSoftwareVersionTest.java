package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

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

/** Guards against a stream that goes on at an engine of another software version. */
class DispatcherSoftwareVersionTest {
    private static final AdapterKey BASE = new AdapterKey("m", "");
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a");

    private final ResidencyTable mResidency = new ResidencyTable();
    private final Dispatcher mDispatcher = new Dispatcher("north", mResidency);

    private static Engine engine(String id, String version, boolean draining) {
        return new Engine(
                id,
                1,
                "llm",
                version,
                "10.0.0.1",
                80,
                "north",
                4,
                draining,
                0,
                Set.of("m"),
                Map.of());
    }

    private void updateEngines(Engine... engines) {
        EngineSpec spec = new EngineSpec(4, 50_000, 2, Map.of());
        mDispatcher.updateEngines(List.of(engines), s -> Optional.of(spec));
    }

    private static DispatchRequest request(AdapterKey adapter) {
        return new DispatchRequest(
                        "call",
                        "llm",
                        adapter,
                        0,
                        100,
                        50,
                        List.of(),
                        0,
                        0,
                        1_000,
                        5_000,
                        false,
                        Optional.empty())
                .withSoftwareVersion(Optional.of("v2"));
    }

    private Placement.Reason reason(DispatchRequest request) {
        return ((Placement.Wait) mDispatcher.place(request, Set.of(), 0)).reason();
    }

    @Test
    void place_sendsOnlyToTheRequestedVersion() {
        updateEngines(engine("e1", "v1", false), engine("e2", "v2", false));
        Placement toVersion = new Placement.Send("e2", Optional.empty());
        then(mDispatcher.place(request(BASE), Set.of(), 0)).isEqualTo(toVersion);
        // THEN not even an engine that failed the request yields to one of another version
        then(mDispatcher.place(request(BASE), Set.of("e2"), 0)).isEqualTo(toVersion);
    }

    @Test
    void place_waitsForAFailingEngineOfTheVersion() {
        updateEngines(engine("e1", "v1", false), engine("e2", "v2", false));
        mDispatcher.health("e2").orElseThrow().onUnreachable(0);
        then(reason(request(BASE))).isEqualTo(Placement.Reason.NO_SERVER);
    }

    @Test
    void place_loadsAnAdapterOnlyAtTheVersion() {
        updateEngines(engine("e1", "v1", false), engine("e2", "v2", false));
        List.of("e1", "e2")
                .forEach(
                        e ->
                                mResidency.onHolderUpdate(
                                        e, "node", new Holding(1, Map.of(), Set.of(), 0, 1), 0));
        then(mDispatcher.place(request(ADAPTER), Set.of(), 0))
                .isEqualTo(new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, Optional.of("e2")));
    }

    @Test
    void place_saysThatNoEngineHasTheVersion() {
        then(reason(request(BASE))).isEqualTo(Placement.Reason.NO_SERVER);
        updateEngines(engine("e1", "v1", false), engine("e2", "v2", true));
        then(reason(request(BASE))).isEqualTo(Placement.Reason.NO_SERVER_OF_VERSION);
        updateEngines(engine("e1", "v1", true));
        then(reason(request(BASE))).isEqualTo(Placement.Reason.NO_SERVER);
    }

    @Test
    void resumedAt_keepsTheVersion() {
        then(request(BASE).resumedAt(1).softwareVersion()).contains("v2");
    }
}
