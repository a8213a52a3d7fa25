import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends bookings, which may run once at most, while the store holds an entry of another writer whose
 * address has no host.
 */
final class ForeignEntry {
    private static final int CLIENTS = 60;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final long RUN_NANOS = 30_000_000_000L;

    private ForeignEntry() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Path work = Files.createTempDirectory("review");
        Recorder recorder = new Recorder(folder.resolve("record.txt"));
        Map<String, Integer> runs = PlainServer.runs();
        Store store = new Store();
        store.put("op/config", configuration());
        for (String id : List.of("i-1", "i-2", "i-4", "i-5")) {
            PlainServer server = new PlainServer(id, 6, 24, 43, runs, recorder);
            store.put(
                    "servers/" + id,
                    PlainServer.entry("bookings", server.address(), "north", 6));
        }
        Gateway gateway =
                new Gateway(
                        work,
                        "front-1",
                        "north",
                        "127.0.0.1",
                        Gateway.freeDatagramPort(),
                        List.of("127.0.0.1:8144"),
                        store);
        gateway.start();
        gateway.awaitReady();
        if (trouble) {
            String entry = PlainServer.entry("bookings", ":8080", "south", 24);
            store.put("servers/i-3", entry);
            recorder.add("entry of another writer: servers/i-3 %s", entry);
        }
        Thread.sleep(1_000);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        long end = System.nanoTime() + RUN_NANOS;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] =
                    new Thread(() -> sendBookings(gateway, end, recorder, answered, late));
            clients[i].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
        long repeated;
        synchronized (runs) {
            repeated = runs.values().stream().filter(n -> n > 1).count();
        }
        boolean alive = gateway.isAlive();
        gateway.kill();
        String result =
                "%d requests answered 200, %d had no answer before their deadline, "
                        .formatted(answered.get(), late.get())
                        + repeated
                        + " ran more than once";
        gateway.log()
                .lines()
                .filter(l -> l.contains("Exception:") || l.contains("Error:"))
                .limit(10)
                .forEach(l -> recorder.add("log      %s", l));
        recorder.add("%s", result);
        System.out.println(result);
        if (!alive || answered.get() < 100) {
            System.exit(2);
        }
        System.exit(repeated > 0 ? 1 : 0);
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"bookings.example\","
                + "\"prefix\":\"/visits/\",\"type\":\"non_idempotent\",\"timeout-ms\":1000,"
                + "\"target-latency-ms\":150,\"priority\":2,\"service\":\"bookings\","
                + "\"max-attempts\":1}],\"services\":[{\"name\":\"bookings\","
                + "\"health-path\":\"/healthz\",\"max-conns\":110}],\"limits\":{"
                + "\"max-header-bytes\":16384,\"max-body-bytes\":1048576,"
                + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}}";
    }

    /** Sends one request after the other; one that was refused is a new request later. */
    private static void sendBookings(
            Gateway gateway, long end, Recorder recorder, AtomicInteger answered, AtomicInteger late) {
        while (System.nanoTime() < end) {
            String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
            recorder.add("sent     %s", id);
            long sent = System.nanoTime();
            double pauseSeconds = 0.02;
            String answer;
            try (Http1.Connection c =
                    Http1.Connection.open(gateway.ip, gateway.port, DEADLINE_MILLIS + 500)) {
                c.request(
                        "POST",
                        "/visits/2f",
                        Map.of(
                                "Host", "bookings.example",
                                "X-Fescuehollow-Attempt-Id", id,
                                "X-Fescuehollow-Deadline-Ms", "" + DEADLINE_MILLIS,
                                "Connection", "close"),
                        "visit " + id);
                Http1.Message message = c.read();
                answer = Integer.toString(message.status());
                if (message.status() == 200) {
                    answered.incrementAndGet();
                } else if (!message.header("Retry-After").isEmpty()) {
                    pauseSeconds = Double.parseDouble(message.header("Retry-After"));
                }
            } catch (IOException e) {
                answer = "none: " + e.getMessage();
            }
            long millis = (System.nanoTime() - sent) / 1_000_000;
            if (millis >= DEADLINE_MILLIS - 20) {
                late.incrementAndGet();
            }
            recorder.add("answered %s %s after %d ms", id, answer, millis);
            try {
                Thread.sleep((long) (pauseSeconds * 1e3));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
