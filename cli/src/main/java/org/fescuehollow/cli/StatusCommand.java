package org.fescuehollow.cli;

import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.RunState;
import org.fescuehollow.server.platform.Json;

/**
 * Queries one path of the administration API of a running process and prints the response.
 *
 * <p>Not safe for concurrent use.
 */
final class StatusCommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final PrintStream mOut;

    StatusCommand(PrintStream out) {
        mOut = out;
    }

    /**
     * Sends one query and prints the response.
     *
     * @param admin host and port of the administration API, HOST:PORT
     * @param key key of the administration API; empty if none is set
     * @param path path and query string
     * @param json true to print the raw JSON
     * @return 0 if the status code was 200, else 1
     */
    int run(String admin, String key, String path, boolean json) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + admin + path)).timeout(TIMEOUT);
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        try {
            HttpResponse<String> response =
                    HttpClient.newHttpClient()
                            .send(request.build(), HttpResponse.BodyHandlers.ofString());
            print(response.body(), json);
            return response.statusCode() == 200 ? 0 : 1;
        } catch (IOException e) {
            throw new FescuehollowException(
                    shouldBeReachable("process at " + admin, RunState.NOT_RUN, "" + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private void print(String body, boolean json) {
        if (json) {
            mOut.println(body);
            return;
        }
        Json.read("response", body.getBytes(StandardCharsets.UTF_8))
                .fields()
                .forEachRemaining(e -> printMember(e.getKey(), e.getValue()));
    }

    private void printMember(String name, JsonNode value) {
        if (value.isArray() && !value.isEmpty()) {
            mOut.println(name + ":");
            value.forEach(v -> mOut.println("  " + v.asText()));
        } else {
            mOut.printf("%-24s %s%n", name, value.isValueNode() ? value.asText() : value);
        }
    }
}
