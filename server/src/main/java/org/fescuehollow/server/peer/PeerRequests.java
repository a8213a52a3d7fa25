package org.fescuehollow.server.peer;

import java.util.function.Consumer;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.wire.PeerProto;

/** Serves what other nodes ask of this one. Called on the node's loop. */
public interface PeerRequests {
    /**
     * Serves an attempt on a backend server that this node coordinates.
     *
     * @param server the backend server's id
     * @param call the call
     * @param firmness how firmly the sender asks
     * @param sink receives the answer
     * @return withdraws the attempt
     */
    CallHandle submit(String server, Call call, Firmness firmness, AnswerSink sink);

    /**
     * Serves a call whose ticket this node answers for.
     *
     * @param ticket the ticket
     * @param call the call
     * @param sink receives the answer; declined if this node doesn't answer for the ticket
     * @return withdraws the call
     */
    CallHandle runTicket(String ticket, Call call, AnswerSink sink);

    /**
     * Takes a frame that belongs to no call.
     *
     * @param node the sender
     * @param frame the frame
     * @param reply sends a frame back
     */
    void news(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply);
}
