package org.fescuehollow.testsupport;

import java.util.List;
import java.util.stream.IntStream;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;

/** Creates VMs, VM lists and adapters for tests. */
public final class TestFleet {
    private TestFleet() {}

    public static VmList vmList(Vm... vms) {
        return new VmList(1, List.of(vms));
    }

    public static Vm entryNode(String id, String domain) {
        return new Vm(id, VmRole.ENTRY, "", domain, "127.0.0.1", 1, VmState.LIVE);
    }

    public static Vm engine(String id, String domain) {
        return new Vm(id, VmRole.ENGINE, "svc", domain, "127.0.0.1", 1, VmState.LIVE);
    }

    public static Vm leaving(Vm vm) {
        return new Vm(
                vm.id(),
                vm.role(),
                vm.service(),
                vm.domain(),
                vm.host(),
                vm.port(),
                VmState.LEAVING);
    }

    public static List<Vm> engines(int count, String domain) {
        return IntStream.range(0, count).mapToObj(i -> engine("e" + i, domain)).toList();
    }

    public static List<AdapterRef> adapters(int count) {
        return IntStream.range(0, count).mapToObj(i -> new AdapterRef("a" + i, "v1")).toList();
    }
}
