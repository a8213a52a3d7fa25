import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a server of a plain service, with some slots and a short queue. */
final class PlainServer {
    /** The Unix time at which all stand-ins say that they have started. */
    static final long BORN = System.currentTimeMillis();

    private final String mId;
    private final int mSlots;
    private final int mQueue;
    private final double mWorkMillis;
    private final Recorder mRecorder;
    private final Http1.Server mServer;
    private final Semaphore mFree;
    private final AtomicInteger mPresent = new AtomicInteger();
    private final Map<String, Integer> mRuns;

    /**
     * Starts a server.
     *
     * @param runs receives how often each request began to run, by its id
     */
    PlainServer(
            String id,
            int slots,
            int queue,
            double workMillis,
            Map<String, Integer> runs,
            Recorder recorder)
            throws IOException {
        mId = id;
        mSlots = slots;
        mQueue = queue;
        mWorkMillis = workMillis;
        mRuns = runs;
        mRecorder = recorder;
        mFree = new Semaphore(slots, true);
        mServer = new Http1.Server("127.0.0.1", this::handle);
    }

    static String entry(String service, String address, String zone, int slots) {
        return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":%d,\"state\":\"ready\",\"cold-left-ms\":0,\"seq-no\":1,"
                        + "\"born\":%d}")
                .formatted(service, address, zone, slots, BORN);
    }

    String address() {
        return "127.0.0.1:" + mServer.port();
    }

    private void handle(Http1.Message request, Http1.Connection connection) throws Exception {
        String id = request.header("X-Fescuehollow-Attempt-Id");
        String expected = request.header("X-Fescuehollow-Expect-Instance");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Fescuehollow-Attempt-Id", id);
        if (!expected.isEmpty() && !expected.equals(mId)) {
            headers.put("X-Fescuehollow-Instance-Id", mId);
            connection.respond(421, headers, "");
            return;
        }
        if (mPresent.incrementAndGet() > mSlots + mQueue) {
            mPresent.decrementAndGet();
            headers.put("X-Fescuehollow-Not-Executed", "1");
            connection.respond(503, headers, "");
            return;
        }
        mFree.acquire();
        int run;
        synchronized (mRuns) {
            run = mRuns.merge(id, 1, Integer::sum);
        }
        mRecorder.add("run      %s at %s, run %d of this request", id, mId, run);
        Thread.sleep((long) (mWorkMillis * ThreadLocalRandom.current().nextDouble(0.5, 1.5)));
        mFree.release();
        mPresent.decrementAndGet();
        headers.put("X-Fescuehollow-Server-Seal", "seal." + mId + "." + id);
        headers.put(
                "X-Fescuehollow-Instance-Load",
                (mSlots - mFree.availablePermits()) + ",0," + mSlots);
        connection.respond(200, headers, "done by " + mId + ": " + request.text());
    }

    static Map<String, Integer> runs() {
        return new HashMap<>();
    }
}
