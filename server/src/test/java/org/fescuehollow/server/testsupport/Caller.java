package org.fescuehollow.server.testsupport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.fescuehollow.server.platform.Json;

/** Calls a server under test over a real socket. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final String mBase;
    private final String mKey;

    public Caller(int port, String key) {
        mBase = "http://127.0.0.1:" + port;
        mKey = key;
    }

    public CompletableFuture<HttpResponse<String>> chat(
            String model, String prompt, boolean stream) {
        ObjectNode body = Json.object().put("model", model).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return postAsync("/v1/chat/completions", Json.write(body).toString(), "");
    }

    public HttpResponse<String> post(String path, String body, String ticket) {
        return postAsync(path, body, ticket).join();
    }

    private CompletableFuture<HttpResponse<String>> postAsync(
            String path, String body, String ticket) {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (!ticket.isEmpty()) {
            request.header("Idempotency-Key", "\"" + ticket + "\"");
        }
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> get(String path) {
        return mClient.sendAsync(request(path).build(), HttpResponse.BodyHandlers.ofString())
                .join();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(mBase + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + mKey);
    }

    public String ticket() {
        return Json.read("ticket", post("/v1/tickets", "", "").body().getBytes())
                .path("ticket")
                .asText();
    }

    /** Joins the words of a stream's events. */
    public static String words(String events) {
        return events.lines()
                .filter(l -> l.startsWith("data: {"))
                .map(l -> Json.read("event", l.substring(6).getBytes()))
                .map(e -> e.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }
}
