import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A stand-in for a model engine that has its base model and loads adapters. It doesn't check fencing
 * tokens, as in deployments without `fencing`.
 */
final class ModelEngine {
    static final String MODEL = "m1";

    private static final long LOAD_MILLIS = 250;
    /** Reports show the state of this time ago. */
    private static final long REPORT_LAG_MILLIS = 200;

    private static final int EVENTS = 5;
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String mId;
    private final String mService;
    private final String mZone;
    private final int mAdapterSlots;
    private final Recorder mRecorder;
    private final Http1.Server mServer;
    private final Map<String, Long> mReadyMillis = new TreeMap<>();
    private final List<Order> mOrders = new ArrayList<>();
    private final NavigableMap<Long, String> mReports = new TreeMap<>();
    private long mOrderCount;

    /** An order that reached the engine, whatever the reply. */
    record Order(String engine, double seconds, String holder, long fence, int reply) {}

    ModelEngine(String id, String service, String zone, int adapterSlots, Recorder recorder)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mAdapterSlots = adapterSlots;
        mRecorder = recorder;
        mServer = new Http1.Server("127.0.0.1", this::handle);
        Http1.thread(this::keepReports);
    }

    private void keepReports() {
        while (true) {
            keepReport();
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes the engine's entry at each heartbeat if it has changed. */
    void register(Store store) {
        Http1.thread(
                () -> {
                    String last = "";
                    while (true) {
                        String entry = entry();
                        if (!entry.equals(last)) {
                            store.put("servers/" + mId, entry);
                            last = entry;
                        }
                        try {
                            Thread.sleep(HEARTBEAT_MILLIS);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                });
    }

    private synchronized String entry() {
        return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":96,\"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"mixed\","
                        + "\"models\":%s,\"seq-no\":%d,\"born\":%d}")
                .formatted(
                        mService, mServer.port(), mZone, models(), mOrderCount, PlainServer.BORN);
    }

    private String models() {
        return "[{\"name\":\"%s\",\"version\":1,\"adapters\":[%s]}]"
                .formatted(MODEL, names(true, a -> a + "@1"));
    }

    private String names(boolean ready, java.util.function.UnaryOperator<String> format) {
        long now = System.currentTimeMillis();
        return mReadyMillis.entrySet().stream()
                .filter(e -> (e.getValue() <= now) == ready)
                .map(e -> '"' + format.apply(e.getKey()) + '"')
                .collect(Collectors.joining(","));
    }

    synchronized List<Order> orders() {
        return List.copyOf(mOrders);
    }

    private void handle(Http1.Message request, Http1.Connection connection) throws Exception {
        String expected = request.header("X-Fescuehollow-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            connection.respond(421, Map.of("X-Fescuehollow-Instance-Id", mId), "");
        } else if (request.uri().equals("/fescuehollow/order")) {
            connection.respond(onOrder(request.text()), Map.of(), "");
        } else if (request.uri().equals("/fescuehollow/report")) {
            connection.respond(200, Map.of("Content-Type", "application/json"), oldReport());
        } else {
            run(request, connection);
        }
    }

    private synchronized String oldReport() {
        long then = System.currentTimeMillis() - REPORT_LAG_MILLIS;
        Map.Entry<Long, String> report = mReports.floorEntry(then);
        return report == null ? report() : report.getValue();
    }

    /** Keeps the report from now on, as the state has changed. */
    private synchronized void keepReport() {
        mReports.put(System.currentTimeMillis(), report());
    }

    private synchronized String report() {
        return ("{\"stage\":\"mixed\",\"models\":%s,\"coming\":[%s],\"busy\":false,\"seq-no\":%d,"
                        + "\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":90000,"
                        + "\"handles\":0,\"born\":%d}")
                .formatted(
                        models(),
                        names(false, a -> MODEL + "/" + a + "@1"),
                        mOrderCount,
                        PlainServer.BORN);
    }

    private synchronized int onOrder(String body) {
        String holder = field(body, "holder");
        long fence = Long.parseLong(field(body, "fence"));
        String adapter = field(body, "adapter");
        boolean load = field(body, "op").equals("loading");
        String expected = field(body, "expect");
        int reply = reply(load, adapter, expected);
        keepReport();
        Order order = new Order(mId, mRecorder.seconds(), holder, fence, reply);
        mOrders.add(order);
        mRecorder.add(
                "order    at %s of %s, fence %d: %s %s, expects %s: %d",
                mId, holder, fence, load ? "loading" : "unloading", adapter, expected, reply);
        return reply;
    }

    private int reply(boolean load, String adapter, String expected) {
        if (!expected.isEmpty() && Long.parseLong(expected) != mOrderCount) {
            return 409;
        }
        if (adapter.isEmpty()) {
            return load ? 200 : 400;
        }
        Long ready = mReadyMillis.get(adapter);
        if (load && ready != null) {
            return ready <= System.currentTimeMillis() ? 200 : 202;
        }
        if (!load && ready == null) {
            return 200;
        }
        if (load && mReadyMillis.size() >= mAdapterSlots) {
            mRecorder.add("crash    ordered to load more than its slots hold");
            return 400;
        }
        mOrderCount++;
        if (load) {
            mReadyMillis.put(adapter, System.currentTimeMillis() + LOAD_MILLIS);
            return 202;
        }
        mReadyMillis.remove(adapter);
        return 200;
    }

    private static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    private void run(Http1.Message request, Http1.Connection connection) throws Exception {
        String id = request.header("X-Fescuehollow-Attempt-Id");
        String model = request.header("X-Fescuehollow-Model");
        String adapter = model.substring(model.indexOf('/') + 1);
        boolean present;
        synchronized (this) {
            Long ready = mReadyMillis.get(adapter);
            present = ready != null && ready <= System.currentTimeMillis();
        }
        if (!present) {
            connection.respond(
                    421,
                    Map.of(
                            "X-Fescuehollow-Attempt-Id", id,
                            "X-Fescuehollow-Instance-Id", mId),
                    "");
            return;
        }
        mRecorder.add("run      %s with %s", id, adapter);
        connection.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "X-Fescuehollow-Attempt-Id: "
                        + id
                        + "\r\nX-Fescuehollow-Server-Seal: seal."
                        + mId
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EVENTS; i++) {
            Thread.sleep(20);
            String event = "id: " + i + "\ndata: piece " + i + "\n\n";
            connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        connection.write("0\r\n\r\n");
    }
}
