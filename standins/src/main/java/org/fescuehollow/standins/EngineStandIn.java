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
 * A fake model engine: holds a limited number of adapters, generates responses word by word and
 * reports its load.
 *
 * <p>The response to a prompt is the name of the adapter followed by the prompt, so that a test
 * detects a wrong adapter or a response that belongs to another request. A prompt that contains
 * {@code !crash} crashes the engine; one that contains {@code !break} closes the connection after
 * two words. Requests are handled on one event loop; the recorded executions, violations and counts
 * may be read from any thread.
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
     * @param vertx the Vert.x instance that runs the event loop
     * @param store the weight store to load adapters from
     * @param options behaviour of the engine
     */
    public EngineStandIn(Vertx vertx, StandInServer store, EngineOptions options) {
        super(vertx);
        mStore = store;
        mOptions = options;
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(64));
    }

    /**
     * Returns the requests that the engine started.
     *
     * @return a copy, oldest first
     */
    public List<Execution> executions() {
        return List.copyOf(mExecutions);
    }

    /**
     * Returns the rule violations in received orders: unloads of an adapter in use.
     *
     * @return a copy, oldest first
     */
    public List<String> violations() {
        return List.copyOf(mViolations);
    }

    /**
     * Returns the loaded adapters.
     *
     * @return a copy of the adapter names with versions
     */
    public Set<String> resident() {
        return Set.copyOf(mRunningByAdapter.keySet());
    }

    /**
     * Returns how often a prompt crashed the engine.
     *
     * @return the count since creation
     */
    public int crashes() {
        return mCrashes.get();
    }

    /** Closes all connections and restarts without adapters, as after a crash. */
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
        String incarnation = mIncarnation;
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
                                        r.statusCode() == 200 && incarnation.equals(mIncarnation)))
                .onFailure(e -> onLoaded(request, name, false));
    }

    private void onLoaded(HttpServerRequest request, String name, boolean isFetched) {
        boolean hasFreeSlot = mRunningByAdapter.size() < mOptions.slots();
        if (isFetched && hasFreeSlot) {
            mRunningByAdapter.putIfAbsent(name, 0);
        }
        sendJson(request, isFetched && hasFreeSlot ? 200 : 500, new JsonObject());
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
        JsonObject requestBody = body.toJsonObject();
        String adapter = requestBody.getString("model");
        if (!mRunningByAdapter.containsKey(adapter)) {
            sendJson(request, 404, new JsonObject().put("error", "not loaded"));
            return;
        }
        mExecutions.add(
                new Execution(
                        request.getHeader("X-Request-Id"),
                        request.getHeader("X-Attempt-Id"),
                        adapter));
        String prompt = promptOf(requestBody);
        if (prompt.contains("!crash")) {
            crash();
            return;
        }
        new Generation(request, requestBody, adapter, prompt).begin();
    }

    private static String promptOf(JsonObject requestBody) {
        JsonArray messages = requestBody.getJsonArray("messages");
        return messages == null
                ? requestBody.getString("prompt", "")
                : messages.getJsonObject(messages.size() - 1).getString("content", "");
    }

    /** A response in progress, generated word by word. Used on the event loop only. */
    private final class Generation {
        private final HttpServerRequest mRequest;
        private final JsonObject mRequestBody;
        private final String mAdapter;
        private final List<String> mWords;
        private final boolean mBreaksConnection;
        private final StringBuilder mText = new StringBuilder();
        private int mNext;
        private boolean mReleased;

        Generation(
                HttpServerRequest request, JsonObject requestBody, String adapter, String prompt) {
            mRequest = request;
            mRequestBody = requestBody;
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
