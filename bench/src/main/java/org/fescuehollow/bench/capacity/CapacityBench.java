package org.fescuehollow.bench.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.idempotency.TicketLedger;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;
import org.fescuehollow.routing.CandidateTable;
import org.fescuehollow.routing.FleetView;
import org.fescuehollow.settings.SettingsEntry;
import org.fescuehollow.settings.SettingsStore;
import org.fescuehollow.settings.SettingsSync;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Measures how memory, processor time and traffic grow with the size of a deployment.
 *
 * <p>Each figure is measured at three or more sizes; a size that was not measured is extrapolated
 * with a linear fit. Not safe for concurrent use.
 */
public final class CapacityBench {
    private static final int NODES = 410;
    private static final int ENGINES = 4_700;
    private static final double STREAMS_PER_SECOND = 380;
    private static final int RESUMED_STREAMS = 300;
    private static final AdapterRef ADAPTER = new AdapterRef("adapter-12345", "v1");

    private final PrintStream mOut;

    /**
     * Creates the benchmark.
     *
     * @param out receives the table
     */
    public CapacityBench(PrintStream out) {
        mOut = out;
    }

    /** Measures and prints all figures. */
    public void run() {
        mOut.printf("%-44s %-34s %14s%n", "figure", "size: value", "at full size");
        measureMembership();
        measureStreamOrigins();
        measureEngineHistory();
        measure("settings, heap bytes", List.of(1_000, 4_000, 12_000), 12_000, this::settingsHeap);
        measure(
                "settings, merge of one path, us",
                List.of(1_000, 4_000, 12_000),
                12_000,
                this::mergeMicros);
        measure(
                "settings, digest and offer, us",
                List.of(1_000, 4_000, 12_000),
                12_000,
                this::offerMicros);
        measure(
                "VM list and fleet view, heap bytes",
                List.of(500, 1_500, 5_110),
                5_110,
                this::viewHeap);
        measure(
                "fleet view, rebuild and first ranking, us",
                List.of(500, 1_500, 5_110),
                5_110,
                this::rebuildMicros);
        measure(
                "cached ranking, one look-up, ns",
                List.of(17, 500, 4_700),
                ENGINES,
                this::lookupNanos);
        measure("coordinators, heap bytes", List.of(100, 400, 1_600), 12, this::coordinatorHeap);
        measure(
                "one request through a coordinator, us",
                List.of(4, 16, 64),
                16,
                this::requestMicros);
        measure("coordinator tick, 1 to 64 waiting, us", List.of(1, 16, 64), 4, this::tickMicros);
        measure(
                "ticket records, heap bytes",
                List.of(1_000, 10_000, 50_000),
                100_000,
                this::ticketLedgerHeap);
        measure(
                "crash suspects, heap bytes",
                List.of(256, 1_024, 4_096),
                4_096,
                this::crashSuspectsHeap);
    }

    private void measureMembership() {
        SortedMap<Integer, Double> messages = new TreeMap<>();
        SortedMap<Integer, Double> bytes = new TreeMap<>();
        SortedMap<Integer, Double> cpu = new TreeMap<>();
        for (int n : List.of(50, 100, 200, NODES)) {
            MembershipLoad.Cost cost = new MembershipLoad(n).measure();
            messages.put(n, cost.messages());
            bytes.put(n, cost.bytes());
            cpu.put(n, cost.cpuMicros());
        }
        print("membership, datagrams per node and second", messages, NODES);
        print("membership, bytes per node and second", bytes, NODES);
        print("membership, CPU us per node and second", cpu, NODES);
        SortedMap<Integer, Double> convergence = new TreeMap<>();
        for (int n : List.of(50, 200, NODES)) {
            convergence.put(n, (double) new MembershipLoad(n).secondsToConvergeAfterLosing(n / 20));
        }
        print("seconds to converge after losing 5% of nodes", convergence, NODES);
    }

    private void measureStreamOrigins() {
        for (int n : List.of(95, 300)) {
            print("state messages, one VM and second", n, new StateMessageLoad(n).measure());
            try (StreamOriginLoad load = new StreamOriginLoad(n)) {
                load.record(STREAMS_PER_SECOND);
                for (double share : List.of(0.0, 0.1, 0.5)) {
                    String name = "records of %.0f%% of streams, one VM and second";
                    print(
                            String.format(Locale.ROOT, name, share * 100),
                            n,
                            load.record(STREAMS_PER_SECOND * share));
                }
                for (int i = 0; i < 3; i++) {
                    StreamOriginLoad.Resumption r = load.resume(RESUMED_STREAMS);
                    print(RESUMED_STREAMS + " streams resumed at once, one VM", n, r.cost());
                    mOut.printf(
                            Locale.ROOT,
                            "%-44s %d answered, the last after %.0f ms%n",
                            "",
                            r.answered(),
                            r.millis());
                }
            }
        }
    }

    private void print(String name, int nodes, StreamOriginLoad.Cost cost) {
        mOut.printf(
                Locale.ROOT,
                "%-44s %d VMs: %.2f datagrams, %.0f bytes, %.1f CPU us%n",
                name,
                nodes,
                cost.messages(),
                cost.bytes(),
                cost.cpuMicros());
        mOut.flush();
    }

    private void measureEngineHistory() {
        for (int engines : List.of(17, 59, 190)) {
            try (EngineHistoryLoad load = new EngineHistoryLoad(engines, 16)) {
                mOut.printf(
                        Locale.ROOT,
                        "%-44s %d engines: %d bytes, first %.1f ms, median %.1f ms%n",
                        "history of 20 s, CPU of one reading",
                        engines,
                        load.bytes(),
                        load.readMillis(),
                        load.medianMillis(9));
            }
        }
    }

    private void measure(
            String name, List<Integer> sizes, int fullSize, IntToDoubleFunction figure) {
        SortedMap<Integer, Double> points = new TreeMap<>();
        figure.applyAsDouble(sizes.get(0));
        sizes.forEach(n -> points.put(n, figure.applyAsDouble(n)));
        print(name, points, fullSize);
    }

    private void print(String name, SortedMap<Integer, Double> points, int fullSize) {
        String values =
                points.entrySet().stream()
                        .map(e -> String.format(Locale.ROOT, "%d: %.4g", e.getKey(), e.getValue()))
                        .collect(Collectors.joining(", "));
        double atFull =
                points.containsKey(fullSize)
                        ? points.get(fullSize)
                        : LinearFit.fit(points).valueAt(fullSize);
        mOut.printf(Locale.ROOT, "%-44s %s -> %.5g at %d%n", name, values, atFull, fullSize);
        mOut.flush();
    }

    private SettingsStore createSettings(int paths) {
        SettingsStore store = new SettingsStore();
        for (int i = 0; i < paths; i++) {
            store.merge(SettingsEntry.value("teams/team-" + i + "/access", 1, accessYaml(i)));
        }
        return store;
    }

    private static String accessYaml(int i) {
        return """
        keys: [%064x]
        adapters:
          - {name: adapter-%d, versions: [v1], service: assistants}
        """
                .formatted(i, i);
    }

    private double settingsHeap(int paths) {
        return ResourceMeter.heapBytes(() -> createSettings(paths));
    }

    private double mergeMicros(int paths) {
        SettingsStore store = createSettings(paths);
        int merges = 200;
        double nanos =
                ResourceMeter.cpuNanos(
                        () ->
                                IntStream.range(0, merges)
                                        .forEach(
                                                i ->
                                                        store.merge(
                                                                SettingsEntry.value(
                                                                        "teams/team-"
                                                                                + i
                                                                                + "/access",
                                                                        2,
                                                                        accessYaml(i)))));
        return nanos / merges / 1_000;
    }

    private double offerMicros(int paths) {
        SettingsSync sync = new SettingsSync(createSettings(paths));
        List<Long> remoteSummary = new ArrayList<>(sync.summary());
        remoteSummary.set(3, 0L);
        int rounds = 200;
        return ResourceMeter.cpuNanos(
                        () ->
                                IntStream.range(0, rounds)
                                        .forEach(i -> sync.createOffer(remoteSummary)))
                / rounds
                / 1_000;
    }

    private static VmList createVmList(int vms) {
        List<Vm> all = new ArrayList<>();
        int nodes = Math.max(5, vms * NODES / (NODES + ENGINES));
        for (int i = 0; i < vms; i++) {
            boolean isEntry = i < nodes;
            all.add(
                    new Vm(
                            (isEntry ? "entry-" : "engine-") + i,
                            isEntry ? VmRole.ENTRY : VmRole.ENGINE,
                            isEntry ? "" : "assistants",
                            "domain-" + i % 5,
                            "10.0.0.1",
                            1_000,
                            VmState.LIVE));
        }
        return new VmList(1, all);
    }

    private static FleetView createFleetView(VmList list) {
        Set<String> live =
                list.withRole(VmRole.ENTRY).stream().map(Vm::id).collect(Collectors.toSet());
        FleetView view = FleetView.of(list, live);
        view.candidates("assistants", ADAPTER);
        return view;
    }

    private double viewHeap(int vms) {
        return ResourceMeter.heapBytes(() -> createFleetView(createVmList(vms)));
    }

    private double rebuildMicros(int vms) {
        VmList list = createVmList(vms);
        int rounds = 20;
        double nanos =
                ResourceMeter.cpuNanos(
                        () ->
                                IntStream.range(0, rounds)
                                        .forEach(
                                                i ->
                                                        createFleetView(list)
                                                                .coordinatedBy("entry-0")));
        return nanos / rounds / 1_000;
    }

    private double lookupNanos(int engines) {
        CandidateTable table = new CandidateTable(createVmList(engines + 5).vms());
        int rounds = 2_000_000;
        table.candidates(ADAPTER);
        return ResourceMeter.cpuNanos(
                        () -> IntStream.range(0, rounds).forEach(i -> table.candidates(ADAPTER)))
                / rounds;
    }

    private double coordinatorHeap(int count) {
        return ResourceMeter.heapBytes(
                () ->
                        IntStream.range(0, count)
                                .mapToObj(i -> CoordinatorLoad.withRunning(16))
                                .toList());
    }

    private double requestMicros(int batch) {
        CoordinatorLoad load = CoordinatorLoad.withRunning(batch);
        int rounds = 20_000;
        return ResourceMeter.cpuNanos(() -> load.finishAndSubmit(rounds)) / rounds / 1_000;
    }

    private double tickMicros(int waiting) {
        CoordinatorLoad load = CoordinatorLoad.withWaiting(waiting);
        int rounds = 5_000;
        return ResourceMeter.cpuNanos(() -> load.tick(rounds)) / rounds / 1_000;
    }

    private double ticketLedgerHeap(int records) {
        return ResourceMeter.heapBytes(
                () -> {
                    TicketLedger ledger = new TicketLedger("n1", "life", new byte[32], 1_000_000);
                    for (int i = 0; i < records; i++) {
                        Ticket t = ledger.issue();
                        ledger.begin(t, i);
                        ledger.complete(
                                t, Outcome.ofResponse(200, "application/json", new byte[300]));
                    }
                    return ledger;
                });
    }

    private double crashSuspectsHeap(int digests) {
        return ResourceMeter.heapBytes(
                () -> {
                    CrashSuspects suspects = new CrashSuspects();
                    for (long d = 0; d < digests; d++) {
                        suspects.recordCrash(d, List.of(d));
                    }
                    return suspects;
                });
    }
}
