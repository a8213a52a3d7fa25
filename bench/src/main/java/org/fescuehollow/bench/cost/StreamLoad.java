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
 * Sends streamed chat calls at a steady rate, whatever the answers take.
 *
 * <p>Times count from when a call was due, so that a slow answer can't hide the ones behind it.
 * Started from any thread; the rest runs on one event loop.
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

    /** Sends calls and returns their times once all have ended. */
    StreamLatencies run(double perSecond, int calls) {
        Promise<Void> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    long start = System.nanoTime();
                    for (int i = 0; i < calls; i++) {
                        long due = (long) (i * 1_000 / perSecond) + 1;
                        mVertx.setTimer(due, t -> send(start + due * 1_000_000, calls, done));
                    }
                });
        done.future().toCompletionStage().toCompletableFuture().join();
        return mLatencies;
    }

    private void send(long dueNanos, int calls, Promise<Void> done) {
        mClient.request(HttpMethod.POST, mPort, "127.0.0.1", "/v1/chat/completions")
                .compose(
                        r ->
                                r.putHeader("Authorization", "Bearer " + Deployment.RENNES_KEY)
                                        .putHeader("Content-Type", "application/json")
                                        .send(mBody))
                .onSuccess(response -> receive(response, dueNanos, calls, done))
                .onFailure(e -> end(false, calls, done));
    }

    private void receive(
            HttpClientResponse response, long dueNanos, int calls, Promise<Void> done) {
        AtomicLong last = new AtomicLong();
        StringBuilder tail = new StringBuilder();
        response.handler(
                data -> {
                    long now = System.nanoTime();
                    long before = last.getAndSet(now);
                    if (before == 0) {
                        mLatencies.recordFirstToken(now - dueNanos);
                    } else {
                        mLatencies.recordInterToken(now - before);
                    }
                    tail.setLength(0);
                    tail.append(data);
                });
        response.endHandler(v -> end(tail.toString().endsWith("[DONE]\n\n"), calls, done));
        response.exceptionHandler(e -> end(false, calls, done));
    }

    private void end(boolean whole, int calls, Promise<Void> done) {
        mLatencies.recordEnd(whole);
        if (mLatencies.count() == calls) {
            done.tryComplete();
        }
    }
}
