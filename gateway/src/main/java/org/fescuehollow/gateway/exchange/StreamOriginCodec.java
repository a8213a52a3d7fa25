package org.fescuehollow.gateway.exchange;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.fescuehollow.exchange.OriginReply;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.StreamOrigin;

/** Converts what nodes tell each other about streams, and checks its lengths. Stateless. */
final class StreamOriginCodec {
    /** The length of an attempt id is up to the client. */
    static final int MAX_ID_CHARS = 128;

    static final int MAX_VERSION_CHARS = 64;

    /** Leaves room for the sender in one packet of 1,400 bytes. */
    private static final int MAX_CONTENT_BYTES = 1_200;

    /** Entries of each kind that are read from a message; more don't fit into a packet. */
    private static final int MAX_ENTRIES = 400;

    /** Tag and length of an entry. */
    private static final int ENTRY_OVERHEAD_BYTES = 4;

    private StreamOriginCodec() {}

    static boolean isValid(String id) {
        return !id.isEmpty() && id.length() <= MAX_ID_CHARS;
    }

    static boolean isValid(String id, String version) {
        return isValid(id) && !version.isEmpty() && version.length() <= MAX_VERSION_CHARS;
    }

    static StreamOrigin origin(String id, String version) {
        return StreamOrigin.newBuilder().setStream(id).setVersion(version).build();
    }

    static StreamOrigin answer(String id, OriginReply reply) {
        return StreamOrigin.newBuilder()
                .setStream(id)
                .setVersion(reply.version())
                .setConflicting(reply.kind() == OriginReply.Kind.CONFLICTING)
                .build();
    }

    static OriginReply reply(StreamOrigin answer) {
        if (answer.getConflicting()) {
            return OriginReply.CONFLICTING;
        }
        return answer.getVersion().isEmpty()
                ? OriginReply.UNKNOWN
                : OriginReply.known(answer.getVersion());
    }

    static Stream<StreamOrigin> validRecords(NodeNews message) {
        return message.getOriginsList().stream()
                .limit(MAX_ENTRIES)
                .filter(o -> isValid(o.getStream(), o.getVersion()));
    }

    static Stream<StreamOrigin> validAnswers(NodeNews message) {
        return message.getOriginAnswersList().stream()
                .limit(MAX_ENTRIES)
                .filter(o -> o.getVersion().length() <= MAX_VERSION_CHARS);
    }

    static Stream<String> validQuestions(NodeNews message) {
        return message.getOriginQuestionsList().stream()
                .limit(MAX_ENTRIES)
                .filter(StreamOriginCodec::isValid);
    }

    static List<NodeNews.Builder> records(Collection<StreamOrigin> records) {
        return split(records, StreamOrigin::getSerializedSize, NodeNews.Builder::addOrigins);
    }

    static List<NodeNews.Builder> answers(Collection<StreamOrigin> answers) {
        return split(answers, StreamOrigin::getSerializedSize, NodeNews.Builder::addOriginAnswers);
    }

    static List<NodeNews.Builder> questions(Collection<String> ids) {
        return split(
                ids,
                CodedOutputStream::computeStringSizeNoTag,
                NodeNews.Builder::addOriginQuestions);
    }

    /** Distributes entries over messages that each fit into one packet. */
    private static <T> List<NodeNews.Builder> split(
            Collection<T> entries,
            ToIntFunction<T> size,
            BiConsumer<NodeNews.Builder, T> addition) {
        List<NodeNews.Builder> messages = new ArrayList<>();
        int bytes = MAX_CONTENT_BYTES;
        for (T entry : entries) {
            int entryBytes = size.applyAsInt(entry) + ENTRY_OVERHEAD_BYTES;
            if (bytes + entryBytes > MAX_CONTENT_BYTES) {
                messages.add(NodeNews.newBuilder());
                bytes = 0;
            }
            addition.accept(messages.get(messages.size() - 1), entry);
            bytes += entryBytes;
        }
        return messages;
    }
}
