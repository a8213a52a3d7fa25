import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** A stand-in for the platform's store: items, and watches that wait for changes. */
final class Store {
    private final SortedMap<String, String> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Http1.Server mServer;
    private long mRevision = 5;

    private record Event(String key, String json, long revision) {}

    Store() throws IOException {
        mServer = new Http1.Server("127.0.0.1", this::handle);
    }

    String address() {
        return "127.0.0.1:" + mServer.port();
    }

    synchronized void put(String key, String value) {
        mRevision++;
        String base64 =
                Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        String json =
                "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created\":%d,\"lease\":0}"
                        .formatted(key, base64, mRevision, mRevision);
        mItems.put(key, json);
        mEvents.add(new Event(key, json, mRevision));
        notifyAll();
    }

    synchronized void remove(String key) {
        mRevision++;
        mItems.remove(key);
        String json = "{\"key\":\"%s\",\"rev\":%d,\"tombstone\":true}".formatted(key, mRevision);
        mEvents.add(new Event(key, json, mRevision));
        notifyAll();
    }

    private void handle(Http1.Message request, Http1.Connection connection) throws Exception {
        String prefix = parameter(request, "prefix");
        String body =
                request.uri().startsWith("/fescuehollow/kv-watch")
                        ? watch(
                                prefix,
                                Long.parseLong(parameter(request, "after")),
                                Long.parseLong(parameter(request, "wait-ms")))
                        : range(prefix);
        connection.respond(200, Map.of("Content-Type", "application/json"), body);
    }

    private synchronized String range(String prefix) {
        List<String> items =
                mItems.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(prefix))
                        .map(Map.Entry::getValue)
                        .toList();
        return "{\"items\":[%s],\"truncated\":false,\"store-revision\":%d}"
                .formatted(String.join(",", items), mRevision);
    }

    private synchronized String watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = events(prefix, after);
        while (events.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            events = events(prefix, after);
        }
        return "{\"events\":[%s],\"store-revision\":%d}"
                .formatted(String.join(",", events), mRevision);
    }

    private List<String> events(String prefix, long after) {
        return mEvents.stream()
                .filter(e -> e.revision() > after && e.key().startsWith(prefix))
                .map(Event::json)
                .toList();
    }

    private static String parameter(Http1.Message request, String name) {
        for (String pair : request.uri().substring(request.uri().indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(
                        pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }
}
