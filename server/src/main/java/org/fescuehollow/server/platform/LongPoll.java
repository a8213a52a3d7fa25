package org.fescuehollow.server.platform;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.server.loop.BoundedCall;
import org.fescuehollow.server.loop.NodeLoop;

/**
 * Keeps one long call waiting at a platform service and hands on each answer.
 *
 * <p>Invariant: at most one call is under way; after a failure the next call waits, longer after
 * each failure, with jitter. Used on the node's loop.
 */
public final class LongPoll {
    /** How long the service may hold a call. */
    public static final Duration HOLD = Duration.ofSeconds(30);

    private static final Logger LOG = System.getLogger(LongPoll.class.getName());
    private static final Duration GRACE = Duration.ofSeconds(5);

    /** Many times the size of the settings of all teams and of the list of all VMs. */
    private static final int MAX_BYTES = 16 << 20;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final double JITTER = 0.5;

    private final NodeLoop mLoop;
    private final HttpClient mClient;
    private final Supplier<String> mUrl;
    private final Consumer<byte[]> mReceiver;
    private long mBackoffMillis = FIRST_BACKOFF_MILLIS;
    private long mLastAnswerNanos;
    private boolean mReached;
    private boolean mStopped;
    private Runnable mPending = () -> {};

    /**
     * Creates a poll, not yet begun.
     *
     * @param loop the node's loop
     * @param client an HTTP client
     * @param url gives the absolute URL of the next call
     * @param receiver takes the body of each answer
     */
    public LongPoll(
            NodeLoop loop, HttpClient client, Supplier<String> url, Consumer<byte[]> receiver) {
        mLoop = loop;
        mClient = client;
        mUrl = url;
        mReceiver = receiver;
    }

    /** Begins the first call. */
    public void begin() {
        if (mStopped) {
            return;
        }
        RequestOptions options =
                new RequestOptions()
                        .setAbsoluteURI(mUrl.get())
                        .setMethod(HttpMethod.GET)
                        .setConnectTimeout(GRACE.toMillis());
        BoundedCall.send(mClient, options, Buffer.buffer(), MAX_BYTES, HOLD.plus(GRACE))
                .compose(LongPoll::bodyOf)
                .onSuccess(this::answered)
                .onFailure(this::failed);
    }

    private static Future<Buffer> bodyOf(BoundedCall.Response response) {
        return response.status() == 200
                ? Future.succeededFuture(response.body())
                : Future.failedFuture("status " + response.status());
    }

    private void answered(Buffer body) {
        try {
            mReceiver.accept(body.getBytes());
        } catch (FescuehollowException e) {
            failed(e);
            return;
        }
        mBackoffMillis = FIRST_BACKOFF_MILLIS;
        mLastAnswerNanos = mLoop.now();
        if (!mReached) {
            mReached = true;
            LOG.log(Level.INFO, "platform service reached");
        }
        mPending = mLoop.after(1, this::begin);
    }

    private void failed(Throwable cause) {
        if (mReached) {
            mReached = false;
            LOG.log(Level.WARNING, "platform service lost: " + cause.getMessage());
        }
        double jitter = 1 - JITTER * ThreadLocalRandom.current().nextDouble();
        mPending = mLoop.after((long) (mBackoffMillis * jitter), this::begin);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * mBackoffMillis);
    }

    /** Begins no more calls. */
    public void stop() {
        mStopped = true;
        mPending.run();
    }

    /**
     * Tells whether the service answered the last call.
     *
     * @return true if reached
     */
    public boolean isReached() {
        return mReached;
    }

    /**
     * Returns how long ago the service last answered.
     *
     * @return milliseconds; -1 if it never did
     */
    public long ageMillis() {
        return mLastAnswerNanos == 0 ? -1 : (mLoop.now() - mLastAnswerNanos) / 1_000_000;
    }
}
