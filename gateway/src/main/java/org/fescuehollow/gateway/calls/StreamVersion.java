package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.dispatch.Placement;
import org.fescuehollow.platform.RequestHead;

/**
 * The software version of the engines that may run one request.
 *
 * <p>A stream that may be resumed begins at the version that all nodes would choose for it, and
 * goes on only at the version that sent its first event. Other requests run at any version.
 *
 * <p>Invariant: the version doesn't change once an event was relayed, or a resumed stream's version
 * was found. Not thread-safe; used on the node's event loop.
 */
final class StreamVersion {
    /** The longest time for which clients wait for a stream, over all their attempts. */
    private static final Duration MIN_LIFE = Duration.ofSeconds(15);

    /** Between the time at which a client states its deadline and the use of that here. */
    private static final Duration DELAY = Duration.ofSeconds(1);

    private final StreamVersions mVersions;
    private final boolean mRestricted;
    private final boolean mTakenUp;
    private final String mOrigin;
    private final Duration mLife;
    private final Duration mAge;
    private Optional<String> mVersion = Optional.empty();
    private boolean mRelayed;
    private boolean mTold;

    StreamVersion(StreamVersions versions, Route route, RequestHead head) {
        mVersions = versions;
        mRestricted = route.kind() == RouteKind.STREAM && route.isRetryable();
        mTakenUp = mRestricted && !head.lastEventId().isEmpty();
        mOrigin = mTakenUp ? head.resumes() : head.attemptId();
        Duration timeout = Duration.ofMillis(route.timeoutMillis());
        mLife = timeout.compareTo(MIN_LIFE) > 0 ? timeout : MIN_LIFE;
        mAge = ageAtMost(head);
    }

    /**
     * Returns how long ago the stream began at most. A client's deadline is that of the whole
     * stream, so the time left bounds its age, unless the client waits for longer than expected.
     */
    private Duration ageAtMost(RequestHead head) {
        Duration left = Duration.ofMillis(head.timeoutMillis().orElse(0));
        Duration age = mLife.minus(left).plus(DELAY);
        return age.compareTo(DELAY) < 0 || age.compareTo(mLife) > 0 ? mLife : age;
    }

    /**
     * Finds the version of a stream that is resumed, at other nodes if need be.
     *
     * @return completes soon, often at once, and never fails
     */
    Future<Void> settle(DispatchRequest request) {
        if (mTakenUp) {
            mVersion = mVersions.find(mOrigin, request, mAge);
        }
        return isUnknown()
                ? mVersions.ask(mOrigin).onSuccess(v -> mVersion = v).mapEmpty()
                : Future.succeededFuture();
    }

    /** Returns whether the stream is resumed and its version wasn't found. */
    boolean isUnknown() {
        return mTakenUp && mVersion.isEmpty();
    }

    /** Returns whether the version can't change any more. */
    boolean isFixed() {
        return mVersion.isPresent();
    }

    /** Decides what to do with the request, as the dispatcher does for those of any version. */
    Placement place(Dispatcher dispatcher, DispatchRequest request, Set<String> avoided, long now) {
        if (!mRestricted) {
            return dispatcher.place(request, avoided, now);
        }
        Optional<String> version = mVersion.or(() -> mVersions.pick(request));
        if (version.isPresent()) {
            return dispatcher.place(request.withSoftwareVersion(version), avoided, now);
        }
        // Adapters are loaded while other nodes read the same entries.
        Placement placement = dispatcher.place(request, avoided, now);
        return placement instanceof Placement.Wait
                ? placement
                : new Placement.Wait(Placement.Reason.VERSION_UNSETTLED, Optional.empty());
    }

    /** Handles events of an engine that go to the client. */
    void onRelayed(Engine engine, DispatchRequest request) {
        if (!mRestricted || mRelayed) {
            return;
        }
        mRelayed = true;
        mVersion = Optional.of(engine.softwareVersion());
        if (!mOrigin.isEmpty()) {
            mVersions.record(mOrigin, engine.softwareVersion());
            tellIfAmbiguous(request);
        }
    }

    /** Tells other nodes the version if they may be unable to work it out, unless that was done. */
    void tellIfAmbiguous(DispatchRequest request) {
        if (mRelayed
                && !mTold
                && !mOrigin.isEmpty()
                && mVersions.isAmbiguous(mOrigin, request, mLife)) {
            mTold = true;
            mVersion.ifPresent(v -> mVersions.tell(mOrigin, v));
        }
    }

    /** Logs that a stream does not go on. */
    void logRefusal(DispatchRequest request, GatewayError error) {
        mVersions.logRefusal(request.id(), mOrigin, error);
    }
}
