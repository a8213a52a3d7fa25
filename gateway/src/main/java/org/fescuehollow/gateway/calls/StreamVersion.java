package org.fescuehollow.gateway.calls;

import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.dispatch.Placement;

/**
 * The software version of the engines that may run one request.
 *
 * <p>A stream that may be resumed begins at the version that all nodes would choose for it, and
 * goes on only at the version that sent its first event. Other requests run at any version.
 *
 * <p>Invariant: the version doesn't change once an event was relayed. Not thread-safe; used on the
 * node's event loop.
 */
final class StreamVersion {
    private final StreamVersions mVersions;
    private final boolean mRestricted;
    private Optional<String> mVersion = Optional.empty();
    private boolean mRelayed;

    StreamVersion(StreamVersions versions, Route route) {
        mVersions = versions;
        mRestricted = route.kind() == RouteKind.STREAM && route.isRetryable();
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
    void onRelayed(Engine engine) {
        if (!mRestricted || mRelayed) {
            return;
        }
        mRelayed = true;
        mVersion = Optional.of(engine.softwareVersion());
    }
}
