package org.fescuehollow.routing;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.Set;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.testsupport.TestFleet;
import org.junit.jupiter.api.Test;

class FleetViewTest {
    private static final AdapterRef ADAPTER = new AdapterRef("a", "v1");

    @Test
    void candidates_excludeLeavingEnginesAndDomainsWithoutNodes() {
        // GIVEN
        VmList list =
                TestFleet.vmList(
                        TestFleet.entryNode("n1", "rennes"),
                        TestFleet.entryNode("n2", "brest"),
                        TestFleet.engine("e1", "rennes"),
                        TestFleet.leaving(TestFleet.engine("e2", "rennes")),
                        TestFleet.engine("e3", "brest"));
        // WHEN
        FleetView view = FleetView.of(list, Set.of("n1"));
        // THEN
        then(view.candidates("svc", ADAPTER)).extracting(Vm::id).containsExactly("e1");
    }

    @Test
    void candidates_moveOnlyAdaptersOfTheRemovedEngine() {
        // GIVEN
        List<Vm> engines = TestFleet.engines(17, "rennes");
        CandidateTable before = new CandidateTable(engines);
        CandidateTable after = new CandidateTable(engines.subList(1, 17));
        // WHEN
        List<AdapterRef> moved =
                TestFleet.adapters(500).stream()
                        .filter(a -> !first(before, a).equals(first(after, a)))
                        .toList();
        // THEN
        then(moved).isNotEmpty().allMatch(a -> first(before, a).equals(engines.get(0)));
    }

    @Test
    void coordinator_isANodeOfTheEnginesOwnDomain() {
        // GIVEN
        VmList list =
                TestFleet.vmList(
                        TestFleet.entryNode("n1", "rennes"),
                        TestFleet.entryNode("n2", "brest"),
                        TestFleet.engine("e1", "brest"));
        // WHEN
        FleetView view = FleetView.of(list, Set.of("n1", "n2"));
        // THEN
        then(view.coordinatorOf(list.find("e1").orElseThrow()).map(Vm::id)).contains("n2");
    }

    private static Vm first(CandidateTable table, AdapterRef adapter) {
        return table.candidates(adapter).get(0);
    }
}
