package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a model engine: holds few adapters, streams words, reports its load.
 *
 * <p>The answer to a prompt is the adapter's name followed by the prompt's words, so that a wrong
 * adapter or a crossed answer shows. Prompts that contain {@code !crash} crash it, {@code !break}
 * breaks the stream in its middle. Decisions run on one event loop; records and switches are safe
 * for any thread.
 */
public final class EngineStandIn extends StandInServer {
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private final StandInServer mStore;
    private final EngineOptions mOptions;
    private final HttpClient mClient;
    private final Map<String, Integer> mRunningByAdapter = new ConcurrentHashMap<>();
    private final Queue<Execution> mExecutions = new ConcurrentLinkedQueue<>();
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private volatile String mIncarnation = UUID.randomUUID().toString();
    private volatile long mHighestFencing;

    /**
     * Creates the stand-in.
     *
     * @param vertx runs its event loop
     * @param store where it loads adapters from
     * @param options how it behaves
     */
    public EngineStandIn(Vertx vertx, StandInServer store, EngineOptions options) {
        super(vertx);
        mStore = store;
        mOptions = options;
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(64));
    }

    /**
     * Returns what it began to run.
     *
     * @return a copy, in order
     */
    public List<Execution> executions() {
        return List.copyOf(mExecutions);
    }

    /**
     * Returns the promises that its orders broke, such as an eviction of an adapter in use.
     *
     * @return a copy, in order
     */
    public List<String> violations() {
        return List.copyOf(mViolations);
    }

    /**
     * Returns the adapters it holds.
     *
     * @return names with versions
     */
    public Set<String> resident() {
        return Set.copyOf(mRunningByAdapter.keySet());
    }

    /**
     * Returns how often it crashed.
     *
     * @return the count since the start
     */
    public int crashes() {
        return mCrashes.get();
    }

    /** Breaks all connections and comes back empty, as after a crash. */
    public void restartEmpty() {
        close();
        mRunningByAdapter.clear();
        mIncarnation = UUID.randomUUID().toString();
        open();
    }

    private void crash() {
        mCrashes.incrementAndGet();
        closeAsync();
        mRunningByAdapter.clear();
        mIncarnation = UUID.randomUUID().toString();
        vertx().setTimer(5, t -> openAsync());
    }

    private void openAsync() {
        Thread restart = new Thread(this::open, "engine-stand-in-restart");
        restart.setDaemon(true);
        restart.start();
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/v1/load_lora_adapter" -> load(request, body.toJsonObject());
            case "/v1/unload_lora_adapter" -> unload(request, body.toJsonObject());
            case "/load" -> sendJson(request, 200, report());
            case "/v1/chat/completions", "/v1/completions" -> complete(request, body);
            default -> sendJson(request, 404, new JsonObject());
        }
    }

    private JsonObject report() {
        JsonObject adapters = new JsonObject();
        mRunningByAdapter.forEach(adapters::put);
        return new JsonObject()
                .put("incarnation", mIncarnation)
                .put("highest_fencing", mHighestFencing)
                .put("adapters", adapters);
    }

    private boolean isFenced(HttpServerRequest request) {
        long number = Long.parseLong(request.getHeader("Fencing-Number"));
        if (!mOptions.checksFencing()) {
            return false;
        }
        if (number < mHighestFencing) {
            sendJson(request, 412, new JsonObject());
            return true;
        }
        mHighestFencing = number;
        return false;
    }

    private void load(HttpServerRequest request, JsonObject order) {
        if (isFenced(request)) {
            return;
        }
        String name = order.getString("lora_name");
        if (mRunningByAdapter.containsKey(name)) {
            sendJson(request, 200, new JsonObject());
            return;
        }
        String life = mIncarnation;
        mClient.request(
                        HttpMethod.GET,
                        mStore.port(),
                        "127.0.0.1",
                        "/" + order.getString("lora_path"))
                .compose(HttpClientRequest::send)
                .onSuccess(
                        r ->
                                onLoaded(
                                        request,
                                        name,
                                        r.statusCode() == 200 && life.equals(mIncarnation)))
                .onFailure(e -> onLoaded(request, name, false));
    }

    private void onLoaded(HttpServerRequest request, String name, boolean ok) {
        boolean fits = mRunningByAdapter.size() < mOptions.slots();
        if (ok && fits) {
            mRunningByAdapter.putIfAbsent(name, 0);
        }
        sendJson(request, ok && fits ? 200 : 500, new JsonObject());
    }

    private void unload(HttpServerRequest request, JsonObject order) {
        if (isFenced(request)) {
            return;
        }
        String name = order.getString("lora_name");
        if (mRunningByAdapter.getOrDefault(name, 0) > 0) {
            mViolations.add("unloaded " + name + " while in use");
        }
        mRunningByAdapter.remove(name);
        sendJson(request, 200, new JsonObject());
    }

    private void complete(HttpServerRequest request, Buffer body) {
        JsonObject call = body.toJsonObject();
        String adapter = call.getString("model");
        if (!mRunningByAdapter.containsKey(adapter)) {
            sendJson(request, 404, new JsonObject().put("error", "not loaded"));
            return;
        }
        mExecutions.add(
                new Execution(
                        request.getHeader("X-Request-Id"),
                        request.getHeader("X-Attempt-Id"),
                        adapter));
        String prompt = promptOf(call);
        if (prompt.contains("!crash")) {
            crash();
            return;
        }
        new Generation(request, call, adapter, prompt).begin();
    }

    private static String promptOf(JsonObject call) {
        JsonArray messages = call.getJsonArray("messages");
        return messages == null
                ? call.getString("prompt", "")
                : messages.getJsonObject(messages.size() - 1).getString("content", "");
    }

    /** One answer under way, word by word. Used on the event loop. */
    private final class Generation {
        private final HttpServerRequest mRequest;
        private final JsonObject mRequestBody;
        private final String mAdapter;
        private final List<String> mWords;
        private final boolean mBreaksConnection;
        private final StringBuilder mText = new StringBuilder();
        private int mNext;
        private boolean mReleased;

        Generation(HttpServerRequest request, JsonObject call, String adapter, String prompt) {
            mRequest = request;
            mRequestBody = call;
            mAdapter = adapter;
            mBreaksConnection = prompt.contains("!break");
            mWords = new ArrayList<>(List.of(adapter));
            mWords.addAll(List.of(prompt.split(" ")));
        }

        void begin() {
            mRunningByAdapter.merge(mAdapter, 1, Integer::sum);
            mRequest.response().closeHandler(v -> release());
            mRequest.response().exceptionHandler(e -> release());
            if (isStream()) {
                mRequest.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
            }
            scheduleStep();
        }

        private boolean isStream() {
            return mRequestBody.getBoolean("stream", false);
        }

        private void scheduleStep() {
            vertx().setTimer(Math.max(1, mOptions.tokenMillis()), t -> step());
        }

        private void step() {
            if (mReleased) {
                return;
            }
            if (mBreaksConnection && mNext == 2) {
                release();
                mRequest.connection().close();
            } else if (mNext == mWords.size()) {
                finish();
            } else {
                String word = (mNext == 0 ? "" : " ") + mWords.get(mNext++);
                mText.append(word);
                if (isStream()) {
                    mRequest.response().write("data: " + chunk(word).encode() + "\n\n");
                }
                scheduleStep();
            }
        }

        private void finish() {
            release();
            if (isStream()) {
                mRequest.response().end(DONE_EVENT);
            } else {
                sendJson(mRequest, 200, completion());
            }
        }

        private boolean isChat() {
            return mRequestBody.containsKey("messages");
        }

        private JsonObject chunk(String word) {
            JsonObject choice =
                    isChat()
                            ? new JsonObject().put("delta", new JsonObject().put("content", word))
                            : new JsonObject().put("text", word);
            return envelope("chat.completion.chunk", choice);
        }

        private JsonObject completion() {
            JsonObject choice =
                    isChat()
                            ? new JsonObject()
                                    .put(
                                            "message",
                                            new JsonObject()
                                                    .put("role", "assistant")
                                                    .put("content", mText.toString()))
                            : new JsonObject().put("text", mText.toString());
            return envelope("chat.completion", choice.put("finish_reason", "stop"));
        }

        private JsonObject envelope(String object, JsonObject choice) {
            return new JsonObject()
                    .put("object", object)
                    .put("model", mAdapter)
                    .put("choices", new JsonArray().add(choice.put("index", 0)));
        }

        private void release() {
            if (!mReleased) {
                mReleased = true;
                mRunningByAdapter.computeIfPresent(mAdapter, (a, n) -> Math.max(0, n - 1));
            }
        }
    }
}
