package org.fescuehollow.server.peer;

import org.fescuehollow.wire.PeerProto;

/** Takes the frames of one side of a link. Called on the node's loop. */
interface FrameHandler {
    /**
     * Takes a frame.
     *
     * @param frame the frame
     */
    void frame(PeerProto.Frame frame);

    /** Takes that the link is gone; no frame follows. */
    void closed();
}
