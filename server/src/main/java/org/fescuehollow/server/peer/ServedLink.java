package org.fescuehollow.server.peer;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehollow.error.Problem;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.wire.PeerProto;

/**
 * A link that another node has opened to this one, over which its calls come.
 *
 * <p>Invariant: when the link breaks, calls that may repeat are cancelled, since their sender will
 * try elsewhere; calls that must not repeat run on. Used on the node's loop.
 */
final class ServedLink implements FrameHandler {
    private final FrameChannel mChannel;
    private final PeerRequests mRequests;
    private final Map<Long, Served> mCalls = new HashMap<>();
    private String mNode = "";

    /** A call under way. */
    private record Served(Call call, CallHandle handle) {}

    ServedLink(FrameChannel channel, PeerRequests requests) {
        mChannel = channel;
        mRequests = requests;
    }

    @Override
    public void frame(PeerProto.Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> mNode = frame.getHello().getNode();
            case SUBMIT -> submit(frame.getStream(), frame.getSubmit());
            case RUN_TICKET -> runTicket(frame.getStream(), frame.getRunTicket());
            case CANCEL ->
                    Optional.ofNullable(mCalls.remove(frame.getStream()))
                            .ifPresent(s -> s.handle().cancel());
            default -> mRequests.news(mNode, frame, mChannel::write);
        }
    }

    private void submit(long stream, PeerProto.Submit submit) {
        Call call = PeerCodec.call(submit.getCall());
        serve(
                stream,
                call,
                sink ->
                        mRequests.submit(
                                submit.getServer(), call, PeerCodec.firmness(submit), sink));
    }

    private void runTicket(long stream, PeerProto.RunTicket run) {
        Call call = PeerCodec.call(run.getCall());
        serve(stream, call, sink -> mRequests.runTicket(run.getTicket(), call, sink));
    }

    private void serve(long stream, Call call, Function<AnswerSink, CallHandle> begin) {
        ReplySink sink = new ReplySink(stream);
        CallHandle handle = begin.apply(sink);
        if (!sink.mOver) {
            mCalls.put(stream, new Served(call, handle));
        }
    }

    @Override
    public void closed() {
        List<Served> calls = List.copyOf(mCalls.values());
        mCalls.clear();
        calls.stream().filter(s -> s.call().repeatable()).forEach(s -> s.handle().cancel());
    }

    /** Writes one call's answer to the link. Used on the node's loop. */
    private final class ReplySink implements AnswerSink {
        private final long mStream;
        private boolean mOver;

        ReplySink(long stream) {
            mStream = stream;
        }

        private PeerProto.Frame.Builder reply() {
            return PeerProto.Frame.newBuilder().setStream(mStream);
        }

        private void last(PeerProto.Frame.Builder frame) {
            mOver = true;
            mCalls.remove(mStream);
            mChannel.write(frame.build());
        }

        @Override
        public void head(AnswerHead head) {
            mChannel.write(reply().setHead(PeerCodec.head(head)).build());
        }

        @Override
        public void chunk(Buffer data) {
            ByteString bytes = ByteString.copyFrom(data.getBytes());
            mChannel.write(reply().setChunk(PeerProto.Chunk.newBuilder().setData(bytes)).build());
        }

        @Override
        public void end() {
            last(reply().setEnd(PeerProto.End.getDefaultInstance()));
        }

        @Override
        public void failed(Problem problem) {
            last(
                    reply().setFailed(
                                    PeerProto.Failed.newBuilder()
                                            .setProblem(PeerCodec.problem(problem))));
        }

        @Override
        public void declined(Quote quote) {
            last(reply().setDeclined(PeerCodec.quote(quote)));
        }

        @Override
        public boolean isFull() {
            return mChannel.isFull();
        }

        @Override
        public void onDrain(Runnable action) {
            mChannel.onDrain(action);
        }
    }
}
