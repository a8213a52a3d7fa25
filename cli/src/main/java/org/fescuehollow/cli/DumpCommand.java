package org.fescuehollow.cli;

import static org.fescuehollow.error.ShouldReachPeer.shouldReachPeer;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.RunState;

/** Prints a process's state. Used from one thread. */
final class DumpCommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final PrintStream mOut;

    DumpCommand(PrintStream out) {
        mOut = out;
    }

    int run(String admin, String key) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + admin + "/dump")).timeout(TIMEOUT);
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        try {
            HttpResponse<String> response =
                    HttpClient.newHttpClient()
                            .send(request.build(), HttpResponse.BodyHandlers.ofString());
            mOut.println(response.body());
            return response.statusCode() == 200 ? 0 : 1;
        } catch (IOException e) {
            throw new FescuehollowException(
                    shouldReachPeer("process at " + admin, RunState.NOT_RUN, "" + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
