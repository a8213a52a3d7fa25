package org.fescuehollow.bench.cost;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehollow.standins.Deployment;

/**
 * Sends streamed chat requests at a constant rate, regardless of the response times (open loop).
 *
 * <p>Latencies are measured from the scheduled send time of a request, so that a slow response
 * doesn't hide the delay of the following ones (coordinated omission). May be started from any
 * thread that is not an event loop; the rest runs on one event loop.
 */
final class StreamLoad {
    private static final String MODEL = "care-notes@v1";

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final int mPort;
    private final String mBody;
    private final StreamLatencies mLatencies = new StreamLatencies();

    StreamLoad(Vertx vertx, int port, int words) {
        mVertx = vertx;
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1_024));
        mPort = port;
        mBody =
                "{\"model\": \""
                        + MODEL
                        + "\", \"stream\": true, \"messages\": [{\"role\": \"user\", \"content\":"
                        + " \""
                        + "w ".repeat(words).trim()
                        + "\"}]}";
    }

    /** Sends requests and returns their latencies when all have ended. */
    StreamLatencies run(double perSecond, int requests) {
        Promise<Void> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    long startNanos = System.nanoTime();
                    for (int i = 0; i < requests; i++) {
                        long dueMillis = (long) (i * 1_000 / perSecond) + 1;
                        mVertx.setTimer(
                                dueMillis,
                                t -> send(startNanos + dueMillis * 1_000_000, requests, done));
                    }
                });
        done.future().toCompletionStage().toCompletableFuture().join();
        return mLatencies;
    }

    private void send(long dueNanos, int requests, Promise<Void> done) {
        mClient.request(HttpMethod.POST, mPort, "127.0.0.1", "/v1/chat/completions")
                .compose(
                        r ->
                                r.putHeader("Authorization", "Bearer " + Deployment.RENNES_KEY)
                                        .putHeader("Content-Type", "application/json")
                                        .send(mBody))
                .onSuccess(response -> receive(response, dueNanos, requests, done))
                .onFailure(e -> end(false, requests, done));
    }

    private void receive(
            HttpClientResponse response, long dueNanos, int requests, Promise<Void> done) {
        AtomicLong lastNanos = new AtomicLong();
        StringBuilder lastChunk = new StringBuilder();
        response.handler(
                data -> {
                    long nowNanos = System.nanoTime();
                    long previousNanos = lastNanos.getAndSet(nowNanos);
                    if (previousNanos == 0) {
                        mLatencies.recordFirstToken(nowNanos - dueNanos);
                    } else {
                        mLatencies.recordInterToken(nowNanos - previousNanos);
                    }
                    lastChunk.setLength(0);
                    lastChunk.append(data);
                });
        response.endHandler(v -> end(lastChunk.toString().endsWith("[DONE]\n\n"), requests, done));
        response.exceptionHandler(e -> end(false, requests, done));
    }

    private void end(boolean isComplete, int requests, Promise<Void> done) {
        mLatencies.recordEnd(isComplete);
        if (mLatencies.count() == requests) {
            done.tryComplete();
        }
    }
}
