package org.fescuehollow.server.loop;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.responses.HeadDefect;

/**
 * A call whose response is read up to a size limit and within a time limit, as a faulty server may
 * send bytes without end, fast or slowly. The idle timeout of the HTTP client restarts with each
 * byte, so that it doesn't bound a call.
 *
 * <p>Invariant: when the call ends, its connection is closed unless the whole response was read.
 * Used on the node's loop.
 */
public final class BoundedCall {
    private final int mMaxBytes;
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private boolean mFailed;

    /**
     * A whole response.
     *
     * @param status the HTTP status
     * @param body the body
     */
    public record Response(int status, Buffer body) {}

    private BoundedCall(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Sends a request and reads its response.
     *
     * @param client the HTTP client
     * @param options the request; its connect timeout is part of the call's time
     * @param body the body of the request; empty for none
     * @param maxBytes the largest body of a response
     * @param timeout the time from the start of the call to the end of the response
     * @return the response; fails if its head is unsound, it exceeds a limit or it doesn't come
     */
    public static Future<Response> send(
            HttpClient client,
            RequestOptions options,
            Buffer body,
            int maxBytes,
            Duration timeout) {
        BoundedCall call = new BoundedCall(maxBytes);
        return client.request(options)
                .compose(r -> call.exchange(r, body))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(e -> call.closeConnection());
    }

    private Future<Response> exchange(HttpClientRequest request, Buffer body) {
        mRequest = Optional.of(request);
        if (mFailed) {
            closeConnection();
            return Future.failedFuture("the call has ended");
        }
        InterimResponses.limit(request);
        Future<HttpClientResponse> response =
                body.length() == 0 ? request.send() : request.send(body);
        return response.compose(r -> read(r).map(b -> new Response(r.statusCode(), b)));
    }

    private Future<Buffer> read(HttpClientResponse response) {
        Optional<HeadDefect> defect = ResponseHeads.findDefect(response, "");
        if (defect.isPresent()) {
            return Future.failedFuture("no sound head: " + defect.get().text());
        }
        Promise<Buffer> result = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(result::tryFail);
        response.endHandler(v -> result.tryComplete(body));
        response.handler(
                b -> {
                    if (body.length() + b.length() <= mMaxBytes) {
                        body.appendBuffer(b);
                    } else {
                        result.tryFail("the response exceeds " + mMaxBytes + " bytes");
                    }
                });
        return result.future();
    }

    private void closeConnection() {
        mFailed = true;
        mRequest.ifPresent(r -> r.connection().close());
    }
}
