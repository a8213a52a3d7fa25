package org.fescuehollow.server.front;

import static org.fescuehollow.error.ShouldBeAllowedTarget.shouldBeAllowedTarget;
import static org.fescuehollow.error.ShouldBeRunning.shouldBeRunning;
import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;
import static org.fescuehollow.error.ShouldNotExceedBodyLimit.shouldNotExceedBodyLimit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Priority;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.idempotency.IdempotencyService;
import org.fescuehollow.server.loop.HttpPort;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.settings.TeamAccess;

/**
 * The callers' HTTP port.
 *
 * <p>Invariants: every request gets exactly one answer or a closed connection; a caller that goes
 * away cancels its call. Used on the node's loop.
 */
public final class FrontService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "front";

    private static final Logger LOG = System.getLogger(FrontService.class.getName());
    private static final long DRAIN_POLL_MILLIS = 20;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private SettingsService mSettings;
    private CallRunner mRunner;
    private HttpPort mPort;
    private boolean mLeaving;
    private boolean mStopping;
    private int mOpen;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public FrontService(NodeConfig config, NodeLoop loop, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mSettings = kernel.find(SettingsService.NAME, SettingsService.class);
        mRunner = kernel.find(IdempotencyService.NAME, IdempotencyService.class);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(mConfig.limits().headerBytes())
                        .setIdleTimeout(longestSilenceMillis())
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                        .setDecompressionSupported(false);
        mPort = HttpPort.open(mLoop, mConfig.callers(), options, this::handle);
        LOG.log(Level.INFO, "callers' port open at " + port());
    }

    /** A caller may wait silently for its start, and then for its answer. */
    private int longestSilenceMillis() {
        return (int) Priority.BULK.startTimeoutMillis() + 2 * mConfig.limits().idleMillis();
    }

    /**
     * Returns the port that callers use.
     *
     * @return the port bound
     */
    public int port() {
        return mPort.number();
    }

    private void handle(HttpServerRequest request) {
        String id = RequestIds.of(request);
        request.response().putHeader(RequestIds.HEADER, id);
        try {
            if (mStopping) {
                throw new FescuehollowException(shouldBeRunning(mConfig.nodeId()));
            }
            CallParser parser = new CallParser(mSettings.view());
            TeamAccess access = parser.authenticate(request);
            dispatch(request, id, parser, access);
        } catch (FescuehollowException e) {
            refuse(request, id, e.problem());
        } catch (RuntimeException e) {
            defect(request, id, e);
        }
    }

    private void dispatch(
            HttpServerRequest request, String id, CallParser parser, TeamAccess access) {
        String path = request.path();
        if (path.equals("/v1/models")) {
            requireMethod(request, HttpMethod.GET);
            answer(request, models(access));
        } else if (path.equals("/v1/tickets")) {
            requireMethod(request, HttpMethod.POST);
            answer(request, Json.object().put("ticket", mRunner.mint()));
        } else if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
            requireMethod(request, HttpMethod.POST);
            readBody(request, id, body -> parser.completion(request, id, access, body));
        } else if (path.startsWith(CallParser.SERVICES_PREFIX)) {
            readBody(request, id, body -> parser.plain(request, id, access, body));
        } else {
            throw new FescuehollowException(shouldBeAllowedTarget(path));
        }
    }

    private static void requireMethod(HttpServerRequest request, HttpMethod method) {
        if (!request.method().equals(method)) {
            throw new FescuehollowException(
                    shouldBeWellFormed("method", method.name(), request.method().name()));
        }
    }

    private void answer(HttpServerRequest request, ObjectNode body) {
        mMetrics.request("", "", "ok");
        request.response().putHeader("Content-Type", "application/json").end(Json.write(body));
    }

    private static ObjectNode models(TeamAccess access) {
        ObjectNode list = Json.object().put("object", "list");
        ArrayNode data = list.putArray("data");
        access.adapters()
                .keySet()
                .forEach(
                        a ->
                                data.addObject()
                                        .put("id", a.toString())
                                        .put("object", "model")
                                        .put("owned_by", access.team()));
        return list;
    }

    private void readBody(HttpServerRequest request, String id, Function<Buffer, Call> parse) {
        Buffer body = Buffer.buffer();
        AtomicBoolean tooLarge = new AtomicBoolean();
        request.handler(
                data -> {
                    if (body.length() + data.length() <= mConfig.limits().bodyBytes()) {
                        body.appendBuffer(data);
                    } else if (!tooLarge.getAndSet(true)) {
                        refuse(request, id, shouldNotExceedBodyLimit(mConfig.limits().bodyBytes()));
                    }
                });
        request.endHandler(
                v -> {
                    if (!tooLarge.get()) {
                        run(request, id, body, parse);
                    }
                });
    }

    private void run(
            HttpServerRequest request, String id, Buffer body, Function<Buffer, Call> parse) {
        try {
            Call call = parse.apply(body);
            Optional<String> key = IdempotencyKey.read(request.getHeader(IdempotencyKey.HEADER));
            mOpen++;
            CallerSink sink = new CallerSink(request, id, call.stream(), code -> ended(call, code));
            AtomicReference<CallHandle> handle = new AtomicReference<>(() -> {});
            request.response().closeHandler(v -> gone(call, sink, handle));
            handle.set(mRunner.run(call, key, sink));
        } catch (FescuehollowException e) {
            refuse(request, id, e.problem());
        } catch (RuntimeException e) {
            defect(request, id, e);
        }
    }

    private void gone(Call call, CallerSink sink, AtomicReference<CallHandle> handle) {
        if (sink.abandon()) {
            handle.get().cancel();
            ended(call, "caller_gone");
        }
    }

    private void ended(Call call, String code) {
        mOpen--;
        mMetrics.request(call.team(), call.service(), code);
    }

    private void refuse(HttpServerRequest request, String id, Problem problem) {
        mMetrics.request("", "", problem.code().wireName());
        if (!request.response().headWritten()) {
            ProblemWriter.answer(request.response(), problem, id);
        }
    }

    private void defect(HttpServerRequest request, String id, RuntimeException e) {
        LOG.log(Level.ERROR, "request " + id + " met a defect", e);
        refuse(
                request,
                id,
                Problem.of(
                        ErrorCode.INTERNAL,
                        RunState.OUTCOME_UNKNOWN,
                        "expected no defect, got " + e.getClass().getSimpleName(),
                        "tell the operators the request id"));
    }

    /**
     * Tells whether the node takes new requests.
     *
     * @return false once a planned stop has begun
     */
    public boolean isOpen() {
        return !mLeaving && !mStopping;
    }

    /**
     * Begins a planned stop: the node is no longer ready, but takes requests until the balancer has
     * had time to notice; then new requests are told to go elsewhere, and those under way go on.
     *
     * @return completes when no request is under way, or when the limit for draining has passed
     */
    public Future<Void> drain() {
        Promise<Void> done = Promise.promise();
        mLoop.run(
                () -> {
                    mLeaving = true;
                    mLoop.after(mConfig.limits().leaveMillis(), () -> close(done));
                });
        return done.future();
    }

    private void close(Promise<Void> done) {
        mStopping = true;
        pollDrained(done, mLoop.now() + mConfig.limits().drainMillis() * 1_000_000L);
    }

    private void pollDrained(Promise<Void> done, long end) {
        if (mOpen == 0 || mLoop.now() >= end) {
            done.tryComplete();
        } else {
            mLoop.after(DRAIN_POLL_MILLIS, () -> pollDrained(done, end));
        }
    }

    @Override
    public void stop() {
        mStopping = true;
        mPort.close();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("open_requests", mOpen);
        out.put("port", port());
        out.put("stopping", mStopping);
        return out;
    }
}
