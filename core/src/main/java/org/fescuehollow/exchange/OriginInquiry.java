package org.fescuehollow.exchange;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A question to a few peers at which software version a stream began.
 *
 * <p>The first peer that knows decides. A peer that was told of several versions decides as well:
 * the version counts as unknown then.
 *
 * <p>Invariant: only the first reply of each peer that was asked counts, and none after the
 * decision. Not safe for concurrent use.
 */
public final class OriginInquiry {
    private final Set<String> mSilentPeers;
    private Optional<String> mVersion = Optional.empty();
    private boolean mDecided;

    /**
     * Creates an inquiry.
     *
     * @param peers the peers that are asked; the inquiry is decided at once if there are none
     */
    public OriginInquiry(Collection<String> peers) {
        mSilentPeers = new HashSet<>(peers);
        mDecided = mSilentPeers.isEmpty();
    }

    /**
     * Handles the reply of a peer.
     *
     * @param peer the peer
     * @param reply its reply
     * @return true if this reply decides the inquiry
     */
    public boolean onReply(String peer, OriginReply reply) {
        if (mDecided || !mSilentPeers.remove(peer)) {
            return false;
        }
        if (reply.kind() == OriginReply.Kind.KNOWN) {
            mVersion = Optional.of(reply.version());
        }
        mDecided = reply.kind() != OriginReply.Kind.UNKNOWN || mSilentPeers.isEmpty();
        return mDecided;
    }

    /**
     * Returns whether the inquiry is decided.
     *
     * @return true once a peer decided it or all have replied
     */
    public boolean isDecided() {
        return mDecided;
    }

    /**
     * Returns the version.
     *
     * @return the version, or empty if no peer has named it
     */
    public Optional<String> version() {
        return mVersion;
    }

    /**
     * Returns the peers that have not replied.
     *
     * @return a copy
     */
    public Set<String> silentPeers() {
        return Set.copyOf(mSilentPeers);
    }
}
