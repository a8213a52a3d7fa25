package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;

/**
 * A fake engine of one software version, which each of its events names. Its streams have four
 * events. Thread-safe.
 */
public final class VersionedEngine {
    /** The number of events of a stream. */
    public static final int EVENTS = 4;

    private static final long HEARTBEAT_MILLIS = 1_000;

    /** What a run does once it has sent its first event. */
    public enum AfterFirstEvent {
        /** Sends the other events. */
        ENDS_WHOLE {
            @Override
            void go(HttpServerResponse response, String others) {
                response.end(others);
            }
        },
        /** Breaks off. */
        BREAKS_OFF {
            @Override
            void go(HttpServerResponse response, String others) {
                response.reset();
            }
        },
        /** Sends nothing more and keeps its connection. */
        FALLS_SILENT {
            @Override
            void go(HttpServerResponse response, String others) {}
        };

        abstract void go(HttpServerResponse response, String others);
    }

    private final TestCluster mCluster;
    private final EngineStandIn mEngine;
    private volatile String mVersion;
    private volatile AfterFirstEvent mNewRuns = AfterFirstEvent.ENDS_WHOLE;
    private volatile AfterFirstEvent mResumedRuns = AfterFirstEvent.ENDS_WHOLE;
    private volatile LongSupplier mBeforeBreakingOff = () -> 1;
    private volatile boolean mDropsNewRuns;
    private Optional<String> mEntry = Optional.empty();

    /** Creates an engine and registers it in the store of a cluster. */
    public VersionedEngine(TestCluster cluster, String id, String version) {
        mCluster = cluster;
        mVersion = version;
        mEngine = new EngineStandIn(cluster.vertx(), id, "llm");
        mEngine.onRequest(this::answer);
        register("ready", version, EngineStandIn.STARTED_MILLIS);
        cluster.vertx().setPeriodic(HEARTBEAT_MILLIS, t -> writeEntry());
    }

    private synchronized void register(String state, String version, long startedMillis) {
        JsonObject entry =
                new JsonObject(mEngine.entry())
                        .put("state", state)
                        .put("version", version)
                        .put("born", startedMillis);
        mEntry = Optional.of(entry.encode());
        writeEntry();
    }

    private synchronized void writeEntry() {
        mEntry.ifPresent(e -> mCluster.store().put("servers/" + mEngine.id(), e));
    }

    /** Sets what runs do after their first event. */
    public VersionedEngine runs(AfterFirstEvent newRuns, AfterFirstEvent resumedRuns) {
        mNewRuns = newRuns;
        mResumedRuns = resumedRuns;
        return this;
    }

    /**
     * Sets what happens between the first event of a new run and what follows; it returns how long
     * the engine then waits, in milliseconds.
     */
    public void beforeBreakingOff(LongSupplier action) {
        mBeforeBreakingOff = action;
    }

    /** Closes the connections of new runs without an event. */
    public void dropsNewRuns() {
        mDropsNewRuns = true;
    }

    /** Goes on as a later incarnation of the engine, of another version, under the same id. */
    public void restartAs(String version) {
        mVersion = version;
        register("ready", version, EngineStandIn.STARTED_MILLIS + 1);
    }

    /** Registers the engine as draining. */
    public void drain() {
        register("draining", mVersion, EngineStandIn.STARTED_MILLIS);
    }

    /** Removes the engine from the store; it serves on. */
    public synchronized void leave() {
        mEntry = Optional.empty();
        mCluster.store().remove("servers/" + mEngine.id());
    }

    /** Returns the ids of the requests that the engine received. */
    public List<String> receivedIds() {
        return mEngine.receivedRequests().stream().map(ReceivedRequest::id).toList();
    }

    private void answer(ReceivedRequest received, HttpServerRequest request) {
        String last = received.headers().get("Last-Event-Id");
        boolean resumed = last != null && !last.isEmpty();
        int first = resumed ? Integer.parseInt(last) + 1 : 1;
        if (!resumed && mDropsNewRuns) {
            mEngine.dropConnection(received, request);
            return;
        }
        HttpServerResponse response = mEngine.startResponse(received, request).setChunked(true);
        String others = events(first + 1, EVENTS);
        Future<Void> written = response.write(events(first, first));
        if (resumed) {
            written.onSuccess(v -> mResumedRuns.go(response, others));
        } else {
            written.onSuccess(v -> endNewRun(response, others));
        }
    }

    private void endNewRun(HttpServerResponse response, String others) {
        long millis = mBeforeBreakingOff.getAsLong();
        mCluster.vertx().setTimer(millis, t -> mNewRuns.go(response, others));
    }

    private String events(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: " + mVersion + "\n\n")
                .collect(Collectors.joining());
    }
}
