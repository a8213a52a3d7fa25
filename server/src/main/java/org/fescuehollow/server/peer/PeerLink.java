package org.fescuehollow.server.peer;

import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehollow.error.RunState;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.wire.PeerProto;

/**
 * A link that this node has opened to another, over which it sends calls and news.
 *
 * <p>Invariants: a call is written at most once; one that was never written fails as not run. What
 * is sent before the connection stands waits for it. Used on the node's loop.
 */
final class PeerLink implements FrameHandler {
    private final String mNode;
    private final Runnable mOnClosed;
    private final StreamTable mStreams;
    private final Consumer<PeerProto.Frame> mReplies;
    private final List<Pending> mPending = new ArrayList<>();
    private Optional<FrameChannel> mChannel = Optional.empty();
    private boolean mClosed;

    /** A frame that waits for the connection. */
    private record Pending(PeerProto.Frame frame, Optional<AnswerSink> sink) {}

    PeerLink(String node, Consumer<PeerProto.Frame> replies, Runnable onClosed) {
        mNode = node;
        mOnClosed = onClosed;
        mReplies = replies;
        mStreams = new StreamTable(node);
    }

    void opened(FrameChannel channel) {
        mChannel = Optional.of(channel);
        mPending.forEach(p -> channel.write(p.frame()));
        mPending.clear();
        if (mClosed) {
            channel.close();
        }
    }

    void unopened(Throwable cause) {
        mClosed = true;
        List<Pending> unsent = List.copyOf(mPending);
        mPending.clear();
        unsent.forEach(p -> failUnsent(p, "" + cause.getMessage()));
        mOnClosed.run();
    }

    private void failUnsent(Pending pending, String why) {
        if (pending.sink().isPresent() && mStreams.close(pending.frame().getStream())) {
            pending.sink().get().failed(shouldBeReachable("node " + mNode, RunState.NOT_RUN, why));
        }
    }

    void send(PeerProto.Frame frame) {
        write(frame, Optional.empty());
    }

    private void write(PeerProto.Frame frame, Optional<AnswerSink> sink) {
        if (mChannel.isPresent()) {
            mChannel.get().write(frame);
        } else {
            mPending.add(new Pending(frame, sink));
        }
    }

    CallHandle call(PeerProto.Frame.Builder frame, AnswerSink sink) {
        long id = mStreams.open(sink);
        write(frame.setStream(id).build(), Optional.of(sink));
        return () -> cancel(id);
    }

    private void cancel(long id) {
        if (mStreams.close(id)) {
            boolean unsent = mPending.removeIf(p -> p.frame().getStream() == id);
            if (!unsent) {
                send(
                        PeerProto.Frame.newBuilder()
                                .setStream(id)
                                .setCancel(PeerProto.Cancel.getDefaultInstance())
                                .build());
            }
        }
    }

    @Override
    public void frame(PeerProto.Frame frame) {
        if (frame.getStream() == 0) {
            mReplies.accept(frame);
        } else {
            mStreams.frame(frame);
        }
    }

    @Override
    public void closed() {
        mClosed = true;
        mOnClosed.run();
        mStreams.failAll("the link broke");
    }

    void close() {
        mClosed = true;
        mChannel.ifPresent(FrameChannel::close);
    }

    int streams() {
        return mStreams.size();
    }
}
