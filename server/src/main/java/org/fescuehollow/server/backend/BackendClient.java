package org.fescuehollow.server.backend;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.config.Limits;
import org.fescuehollow.server.loop.BoundedCall;

/**
 * Speaks HTTP to engines and plain services.
 *
 * <p>Invariants: a request is written to a backend server at most once; a failure before a
 * connection stands is reported as not run, any later one as of unknown outcome. Nothing is sent
 * again here. Used on the node's loop.
 */
public final class BackendClient {
    /** Many times the size of a report of an engine with all its adapters. */
    private static final int CONTROL_BYTES = 256 * 1024;

    private static final Logger LOG = System.getLogger(BackendClient.class.getName());

    private final HttpClient mClient;
    private final Limits mLimits;

    /**
     * Creates a client.
     *
     * @param client an HTTP client
     * @param limits bounds of sizes and times
     */
    public BackendClient(HttpClient client, Limits limits) {
        mClient = client;
        mLimits = limits;
    }

    /**
     * Sends a load or unload order.
     *
     * @param server the engine
     * @param path {@link EngineProtocol#LOAD_PATH} or {@link EngineProtocol#UNLOAD_PATH}
     * @param adapter the adapter
     * @param fencing the fencing number
     * @return what became of it; never fails
     */
    public Future<AdminReply> order(Vm server, String path, AdapterRef adapter, long fencing) {
        RequestOptions options =
                options(server, HttpMethod.POST, path)
                        .putHeader("Content-Type", "application/json")
                        .putHeader(EngineProtocol.FENCING_HEADER, Long.toString(fencing));
        Duration timeout = Duration.ofMillis(mLimits.loadMillis());
        return BoundedCall.send(
                        mClient, options, EngineProtocol.order(adapter), CONTROL_BYTES, timeout)
                .map(r -> replyOf(r.status()))
                .onFailure(e -> LOG.log(Level.WARNING, "order to " + server.id() + " failed: " + e))
                .otherwise(AdminReply.FAILED);
    }

    private static AdminReply replyOf(int status) {
        return switch (status) {
            case 200 -> AdminReply.DONE;
            case 412 -> AdminReply.FENCED;
            default -> AdminReply.FAILED;
        };
    }

    /**
     * Asks an engine for its report.
     *
     * @param server the engine
     * @return the report; fails if the engine doesn't answer
     */
    public Future<EngineReport> inspect(Vm server) {
        RequestOptions options = options(server, HttpMethod.GET, EngineProtocol.REPORT_PATH);
        Duration timeout = Duration.ofMillis(mLimits.connectMillis() * 2L);
        return BoundedCall.send(mClient, options, Buffer.buffer(), CONTROL_BYTES, timeout)
                .map(r -> EngineProtocol.report(r.body().getBytes()));
    }

    /**
     * Sends a call and hands its answer on.
     *
     * @param server the backend server
     * @param call the call
     * @param attempt the attempt's identity
     * @param sink receives the answer's chunks and its end or failure; not the head
     * @param head receives status and content type before the first chunk
     * @return cancels the exchange
     */
    public CallHandle send(
            Vm server,
            Call call,
            String attempt,
            AnswerSink sink,
            BiConsumer<Integer, String> head) {
        RequestOptions options =
                options(server, HttpMethod.valueOf(call.method()), call.path())
                        .setIdleTimeout(mLimits.idleMillis())
                        .putHeader(EngineProtocol.REQUEST_ID_HEADER, call.id())
                        .putHeader(EngineProtocol.ATTEMPT_HEADER, attempt);
        if (!call.contentType().isEmpty()) {
            options.putHeader("Content-Type", call.contentType());
        }
        if (!call.traceParent().isEmpty()) {
            options.putHeader("traceparent", call.traceParent());
        }
        Exchange exchange = new Exchange(call, attempt, sink, head, mLimits);
        mClient.request(options).onSuccess(exchange::connected).onFailure(exchange::unconnected);
        return exchange;
    }

    private RequestOptions options(Vm server, HttpMethod method, String path) {
        return new RequestOptions()
                .setHost(server.host())
                .setPort(server.port())
                .setMethod(method)
                .setURI(path)
                .setConnectTimeout(mLimits.connectMillis());
    }
}
