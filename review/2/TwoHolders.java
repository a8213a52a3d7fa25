import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Stops and starts gateways in turn while two failure domains are cut off from each other. */
final class TwoHolders {
    private static final double LEASE_SECONDS = 3.0;
    private static final double THAW = 0.3;
    private static final double CUT_SECONDS = 12;
    private static final double AFTER_SECONDS = 5;

    /** A client asks for another adapter after this time. */
    private static final long NEW_ADAPTER_MILLIS = 8_000;

    private final Recorder mRecorder;
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mNextAdapter = new AtomicInteger(20);

    private TwoHolders(Recorder recorder) {
        mRecorder = recorder;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Path work = Files.createTempDirectory("review");
        Recorder recorder = new Recorder(folder.resolve("record.txt"));
        new TwoHolders(recorder).run(trouble, work);
    }

    private void run(boolean trouble, Path work) throws Exception {
        Store store = new Store();
        store.put("op/config", configuration());
        ModelEngine engine = new ModelEngine("i-7", "assistants", "rennes", 8, mRecorder);
        engine.register(store);
        Map<String, Integer> ports = new TreeMap<>();
        List<String> ips = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
        int base = Gateway.freeDatagramPort();
        for (String ip : ips) {
            ports.put(ip, base - 20 * ports.size());
        }
        Links links = new Links(ports);
        List<String> seeds = ips.stream().map(ip -> ip + ":8144").toList();
        Gateway local = gateway(work, "frontend-rennes-1", "rennes", ips.get(0), ports, seeds, store);
        Gateway brest = gateway(work, "frontend-brest-1", "brest", ips.get(1), ports, seeds, store);
        Gateway vannes =
                gateway(work, "frontend-vannes-1", "vannes", ips.get(2), ports, seeds, store);
        List<Gateway> all = List.of(local, brest, vannes);
        for (Gateway g : all) {
            g.start();
        }
        for (Gateway g : all) {
            g.awaitReady();
            Http1.thread(() -> ask(g, "a1", 300));
        }
        // The gateway of the engine's own domain is the first holder. Another one follows it when it
        // is stopped.
        awaitHolder(engine, Map.of(local.name, local), local);
        restart(local);
        Gateway holder =
                awaitHolder(engine, Map.of(brest.name, brest, vannes.name, vannes), brest);
        Gateway other = holder == brest ? vannes : brest;
        Thread.sleep(2_000);
        mRecorder.add("holder   %s, next to stop: %s", holder.name, other.name);
        mRecorder.add("SIGTERM  %s", other.name);
        other.terminate();
        other.awaitEnd(9_000);
        if (trouble) {
            mRecorder.add("cut      between %s and %s", holder.name, other.name);
            links.cut(holder.ip, other.ip);
        }
        double healSeconds = mRecorder.seconds() + CUT_SECONDS;
        other.start();
        mRecorder.add("started  %s", other.name);
        other.awaitReady();
        Http1.thread(() -> ask(other, "a3", 500));
        Http1.thread(() -> askForNewAdapters(holder));
        awaitSeconds(healSeconds);
        mRecorder.add("healed");
        links.heal();
        awaitSeconds(healSeconds + AFTER_SECONDS);
        judge(engine, all, healSeconds);
    }

    private void awaitSeconds(double end) throws InterruptedException {
        while (mRecorder.seconds() < end) {
            Thread.sleep(20);
        }
    }

    private static Gateway gateway(
            Path work,
            String name,
            String zone,
            String ip,
            Map<String, Integer> ports,
            List<String> seeds,
            Store store)
            throws IOException {
        return new Gateway(work, name, zone, ip, ports.get(ip), seeds, store);
    }

    private void restart(Gateway gateway) throws Exception {
        mRecorder.add("SIGTERM  %s", gateway.name);
        gateway.terminate();
        gateway.awaitEnd(9_000);
        gateway.start();
        mRecorder.add("started  %s", gateway.name);
        gateway.awaitReady();
    }

    /** Asks a gateway for other adapters until one of the candidates has given the last order. */
    private Gateway awaitHolder(
            ModelEngine engine, Map<String, Gateway> candidates, Gateway asked)
            throws Exception {
        long end = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < end) {
            List<ModelEngine.Order> orders = engine.orders();
            String last = orders.isEmpty() ? "" : orders.get(orders.size() - 1).holder();
            if (candidates.containsKey(last)) {
                return candidates.get(last);
            }
            ask(asked, "a" + mNextAdapter.getAndIncrement());
            pause(200);
        }
        System.out.println("no gateway became the holder");
        System.exit(2);
        return null;
    }

    private void judge(ModelEngine engine, List<Gateway> all, double healed) throws Exception {
        for (Gateway g : all) {
            g.kill();
        }
        // Orders just after a link has healed don't count.
        List<ModelEngine.Order> orders =
                engine.orders().stream()
                        .filter(o -> Math.abs(o.seconds() - healed - THAW / 2) > THAW / 2)
                        .toList();
        int turns = 0;
        int lowerFences = 0;
        for (int i = 1; i < orders.size(); i++) {
            ModelEngine.Order before = orders.get(i - 1);
            ModelEngine.Order order = orders.get(i);
            boolean turn =
                    !order.holder().equals(before.holder())
                            && order.seconds() - before.seconds() < LEASE_SECONDS;
            turns += turn ? 1 : 0;
            lowerFences += order.fence() < before.fence() ? 1 : 0;
            if (turn) {
                mRecorder.add("turn     %s after %s", order, before);
            }
        }
        String result =
                "%d requests served, %d orders, %d turns within the lease, %d lower fences"
                        .formatted(mServed.get(), orders.size(), turns, lowerFences);
        mRecorder.add("%s", result);
        System.out.println(result);
        System.exit(turns > 0 || lowerFences > 0 ? 1 : mServed.get() > 50 ? 0 : 2);
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"assistants.example\","
                + "\"prefix\":\"/notes/\",\"type\":\"streaming\",\"timeout-ms\":6000,"
                + "\"target-latency-ms\":1000,\"priority\":1,\"service\":\"assistants\","
                + "\"max-attempts\":2,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":300}],"
                + "\"services\":[{\"name\":\"assistants\",\"health-path\":\"/healthz\","
                + "\"max-conns\":500,\"engine\":{\"slots\":96,\"kv-capacity\":183499,"
                + "\"models\":[{\"name\":\"m1\",\"weights-mb\":34300.0,\"load-s\":0.6,"
                + "\"adapters\":3000,\"adapter-mb\":40.0}],\"weights-mb\":35300.0,"
                + "\"adapter-slots\":8,\"loads-per-s\":4.2}}],\"limits\":{"
                + "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }

    private void askForNewAdapters(Gateway gateway) {
        while (true) {
            ask(gateway, "a" + mNextAdapter.getAndIncrement());
            pause(NEW_ADAPTER_MILLIS);
        }
    }

    private void ask(Gateway gateway, String adapter, long pauseMillis) {
        while (true) {
            ask(gateway, adapter);
            pause(pauseMillis);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(Gateway gateway, String adapter) {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
        mRecorder.add("sent     %s for %s to %s", id, adapter, gateway.name);
        String answer;
        try (Http1.Connection c = Http1.Connection.open(gateway.ip, gateway.port, 7_000)) {
            c.request(
                    "POST",
                    "/notes/2f",
                    Map.of(
                            "Host", "assistants.example",
                            "X-Fescuehollow-Attempt-Id", id,
                            "X-Fescuehollow-Model", ModelEngine.MODEL + "/" + adapter,
                            "X-Fescuehollow-Token-Usage", "460,80",
                            "X-Fescuehollow-Prompt-Prefix", "5c1e07a2:400," + id + ":60",
                            "X-Fescuehollow-Deadline-Ms", "6000",
                            "Connection", "close"),
                    "note");
            int status = c.read().status();
            mServed.addAndGet(status == 200 ? 1 : 0);
            answer = Integer.toString(status);
        } catch (IOException e) {
            answer = "none: " + e.getMessage();
        }
        mRecorder.add("answered %s %s", id, answer);
    }
}
