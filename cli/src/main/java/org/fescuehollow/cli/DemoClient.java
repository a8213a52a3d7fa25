package org.fescuehollow.cli;

import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.RunState;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.standins.Deployment;

/**
 * Sends the requests of the demo and verifies the responses.
 *
 * <p>Not safe for concurrent use.
 */
final class DemoClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_READY_POLLS = 500;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final String mBaseUrl;

    DemoClient(int port) {
        mBaseUrl = "http://127.0.0.1:" + port;
    }

    void awaitReady(int adminPort) {
        URI ready = URI.create("http://127.0.0.1:" + adminPort + "/readyz");
        for (int i = 0; i < MAX_READY_POLLS; i++) {
            if (send(HttpRequest.newBuilder(ready)).statusCode() == 200) {
                return;
            }
            pause();
        }
        throw new FescuehollowException(
                shouldBeReachable(
                        "the entry process of the demo",
                        RunState.NOT_RUN,
                        "it didn't become ready in time"));
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    DemoResult complete(String model, String prompt, boolean stream) {
        ObjectNode body = Json.object().put("model", model).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        HttpResponse<String> response =
                send(post("/v1/chat/completions", Json.write(body).toString()));
        String text = response.body();
        boolean isCorrect =
                stream
                        ? text.endsWith("data: [DONE]\n\n")
                                && streamedText(text).equals(model + " " + prompt)
                        : text.contains("\"" + model + " " + prompt + "\"");
        return resultOf(model, response, isCorrect && response.statusCode() == 200);
    }

    private static String streamedText(String events) {
        return events.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.read("event", line.substring(6).getBytes(StandardCharsets.UTF_8)))
                .map(event -> event.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }

    DemoResult executeBooking(String booking) {
        String ticketResponse = send(post("/v1/tickets", "")).body();
        String ticket =
                Json.read("ticket", ticketResponse.getBytes(StandardCharsets.UTF_8))
                        .path("ticket")
                        .asText();
        HttpRequest.Builder request = post("/services/bookings/visits", booking);
        request.header("Idempotency-Key", "\"" + ticket + "\"");
        HttpResponse<String> response = send(request);
        return resultOf("bookings", response, response.body().contains(booking));
    }

    DemoResult callUnauthorizedAdapter(String model) {
        String body = "{\"model\": \"" + model + "\", \"prompt\": \"x\"}";
        HttpResponse<String> response = send(post("/v1/completions", body));
        boolean isCorrect =
                response.statusCode() == 404 && response.body().contains("\"ran\":\"not_run\"");
        return new DemoResult(model, "-", "refused", 0, isCorrect);
    }

    private DemoResult resultOf(String target, HttpResponse<String> response, boolean isCorrect) {
        boolean isStalled = header(response, "X-Adapter-Stalled").equals("true");
        String waitMicros = header(response, "X-Waited-Micros");
        return new DemoResult(
                target,
                header(response, "X-Served-By"),
                isStalled ? "loaded" : "resident",
                waitMicros.isEmpty() ? 0 : Long.parseLong(waitMicros),
                isCorrect);
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    private HttpRequest.Builder post(String path, String body) {
        return HttpRequest.newBuilder(URI.create(mBaseUrl + path))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + Deployment.RENNES_KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return mClient.send(
                    request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new FescuehollowException(
                    shouldBeReachable(
                            "the entry process of the demo", RunState.OUTCOME_UNKNOWN, "" + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FescuehollowException(
                    shouldBeReachable(
                            "the entry process of the demo", RunState.OUTCOME_UNKNOWN, "" + e));
        }
    }
}
