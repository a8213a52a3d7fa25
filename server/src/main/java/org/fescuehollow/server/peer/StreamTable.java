package org.fescuehollow.server.peer;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;
import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.wire.PeerProto;

/**
 * The calls that this node has sent over one link, by stream.
 *
 * <p>Invariants: each stream's sink gets one end, failure or redirect; frames of a stream that has
 * ended are dropped, however late they come. Used on the node's loop.
 */
final class StreamTable {
    private final String mNode;
    private final Map<Long, Stream> mStreams = new HashMap<>();
    private long mNext;

    StreamTable(String node) {
        mNode = node;
    }

    /** One call under way. */
    private static final class Stream {
        private final AnswerSink mSink;
        private boolean mAnswered;

        Stream(AnswerSink sink) {
            mSink = sink;
        }
    }

    long open(AnswerSink sink) {
        long id = ++mNext;
        mStreams.put(id, new Stream(sink));
        return id;
    }

    boolean close(long id) {
        return mStreams.remove(id) != null;
    }

    void frame(PeerProto.Frame frame) {
        Stream stream = mStreams.get(frame.getStream());
        if (stream == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case HEAD -> {
                stream.mAnswered = true;
                stream.mSink.head(PeerCodec.head(frame.getHead()));
            }
            case CHUNK ->
                    stream.mSink.chunk(Buffer.buffer(frame.getChunk().getData().toByteArray()));
            case END -> end(frame, AnswerSink::end);
            case DECLINED -> {
                Quote quote = PeerCodec.quote(frame.getDeclined());
                end(frame, s -> s.declined(quote));
            }
            case FAILED -> {
                Problem problem = PeerCodec.problem(frame.getFailed().getProblem());
                end(frame, s -> s.failed(problem));
            }
            default -> fail(frame.getStream(), stream, "it sent an unknown frame");
        }
    }

    private void end(PeerProto.Frame frame, Consumer<AnswerSink> last) {
        last.accept(mStreams.remove(frame.getStream()).mSink);
    }

    private void fail(long id, Stream stream, String why) {
        mStreams.remove(id);
        stream.mSink.failed(
                stream.mAnswered
                        ? shouldAnswerCompletely("node " + mNode + " was lost: " + why)
                        : shouldBeReachable("node " + mNode, RunState.OUTCOME_UNKNOWN, why));
    }

    void failAll(String why) {
        List.copyOf(mStreams.entrySet()).forEach(e -> fail(e.getKey(), e.getValue(), why));
    }

    int size() {
        return mStreams.size();
    }
}
