package org.fescuehollow.gateway.exchange;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.fescuehollow.exchange.OriginInquiry;
import org.fescuehollow.exchange.OriginReply;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.versions.OriginHolders;
import org.fescuehollow.versions.StreamOrigins;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.StreamOrigin;

/**
 * Tells a few other nodes at which software version a stream began, and asks them.
 *
 * <p>The nodes are those that {@link OriginHolders} ranks for the stream among the live ones. Each
 * answers with all that it knows: what it was told and which streams it began itself.
 *
 * <p>Messages are datagrams. A question is sent once more to the nodes that haven't answered it; a
 * record is not, as several nodes are told.
 *
 * <p>Invariants: a stream for which two versions were told has none; a datagram fits into one
 * packet; nothing is sent unless a stream is recorded or asked for. Not thread-safe; used on the
 * node's event loop.
 */
public final class StreamOriginExchange implements OriginLookup {
    /** Records within this time are sent as one message. */
    private static final long RECORD_DELAY_MILLIS = 20;

    /** Questions within this time are sent as one message. */
    private static final long QUESTION_DELAY_MILLIS = 5;

    /** Several round trips between failure domains. */
    private static final long REPEAT_MILLIS = 50;

    /** A stream's client notices a longer silence. */
    private static final long TIMEOUT_MILLIS = 150;

    /** Records that wait to be sent, more than a node begins within the delay. */
    private static final int MAX_WAITING_RECORDS = 2_000;

    /** Open questions; each holds a client's request. */
    private static final int MAX_QUESTIONS = 4_000;

    private final NodeContext mContext;
    private final StreamOrigins mOrigins;
    private final Supplier<List<Peer>> mPeers;
    private final BiConsumer<NodeNews.Builder, String> mSender;
    private final Map<String, StreamOrigin> mWaitingRecords = new LinkedHashMap<>();
    private final Map<String, Question> mQuestions = new HashMap<>();
    private List<Question> mWaitingQuestions = new ArrayList<>();

    /** An open question, and the addresses of the nodes by their names. */
    private record Question(
            String stream,
            OriginInquiry inquiry,
            Map<String, String> addresses,
            Promise<Optional<String>> result) {}

    /**
     * Creates the exchange.
     *
     * @param context the context of the node
     * @param origins what this node knows of streams
     * @param peers returns the live nodes that take work
     * @param sender sends a message to an IP address
     */
    public StreamOriginExchange(
            NodeContext context,
            StreamOrigins origins,
            Supplier<List<Peer>> peers,
            BiConsumer<NodeNews.Builder, String> sender) {
        mContext = context;
        mOrigins = origins;
        mPeers = peers;
        mSender = sender;
    }

    @Override
    public void record(String attemptId, String version) {
        mOrigins.add(attemptId, version, mContext.clock().now());
        if (!StreamOriginCodec.isValid(attemptId, version)) {
            return;
        }
        if (mWaitingRecords.size() >= MAX_WAITING_RECORDS) {
            mContext.metrics().countEvent("stream_origin_not_told");
            return;
        }
        if (mWaitingRecords.isEmpty()) {
            mContext.vertx().setTimer(RECORD_DELAY_MILLIS, t -> sendRecords());
        }
        mWaitingRecords.put(attemptId, StreamOriginCodec.origin(attemptId, version));
    }

    private void sendRecords() {
        Map<String, List<StreamOrigin>> byAddress = new LinkedHashMap<>();
        Map<String, String> peers = addresses();
        mWaitingRecords.forEach(
                (id, origin) ->
                        OriginHolders.of(id, peers.keySet())
                                .forEach(p -> add(byAddress, peers.get(p), origin)));
        mWaitingRecords.clear();
        byAddress.forEach(
                (ip, origins) ->
                        StreamOriginCodec.records(origins).forEach(m -> mSender.accept(m, ip)));
    }

    private Map<String, String> addresses() {
        return mPeers.get().stream().collect(Collectors.toMap(Peer::name, Peer::ip));
    }

    private static <T> void add(Map<String, List<T>> lists, String key, T value) {
        lists.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
    }

    @Override
    public Future<Optional<String>> find(String attemptId) {
        long now = mContext.clock().now();
        Optional<String> known = mOrigins.find(attemptId, now);
        if (known.isPresent()
                || mOrigins.isDisputed(attemptId, now)
                || !StreamOriginCodec.isValid(attemptId)) {
            return Future.succeededFuture(known);
        }
        Question open = mQuestions.get(attemptId);
        return open == null ? ask(attemptId) : open.result().future();
    }

    private Future<Optional<String>> ask(String attemptId) {
        Map<String, String> peers = addresses();
        Set<String> holders = Set.copyOf(OriginHolders.of(attemptId, peers.keySet()));
        if (holders.isEmpty() || mQuestions.size() >= MAX_QUESTIONS) {
            mContext.metrics().countEvent("stream_origin_not_asked");
            return Future.succeededFuture(Optional.empty());
        }
        peers.keySet().retainAll(holders);
        Question question =
                new Question(attemptId, new OriginInquiry(holders), peers, Promise.promise());
        if (mWaitingQuestions.isEmpty()) {
            mContext.vertx().setTimer(QUESTION_DELAY_MILLIS, t -> sendQuestions());
        }
        mWaitingQuestions.add(question);
        mQuestions.put(attemptId, question);
        return question.result().future();
    }

    private void sendQuestions() {
        List<Question> questions = mWaitingQuestions;
        mWaitingQuestions = new ArrayList<>();
        send(questions);
        mContext.vertx().setTimer(REPEAT_MILLIS, t -> send(questions));
        mContext.vertx().setTimer(TIMEOUT_MILLIS, t -> questions.forEach(this::giveUp));
    }

    /** Sends the questions that are open to the nodes that haven't answered them. */
    private void send(Collection<Question> questions) {
        Map<String, Set<String>> byAddress = new LinkedHashMap<>();
        for (Question q : questions) {
            if (!q.inquiry().isDecided()) {
                q.inquiry()
                        .silentPeers()
                        .forEach(
                                p ->
                                        byAddress
                                                .computeIfAbsent(
                                                        q.addresses().get(p),
                                                        ip -> new LinkedHashSet<>())
                                                .add(q.stream()));
            }
        }
        byAddress.forEach(
                (ip, ids) -> StreamOriginCodec.questions(ids).forEach(m -> mSender.accept(m, ip)));
    }

    private void giveUp(Question question) {
        if (!question.inquiry().isDecided()) {
            mContext.metrics().countEvent("stream_origin_timeout");
            complete(question, Optional.empty());
        }
    }

    private void complete(Question question, Optional<String> version) {
        mQuestions.remove(question.stream(), question);
        question.result().tryComplete(version);
    }

    /**
     * Handles a message of another node.
     *
     * @param message may hold records, questions and answers
     */
    public void onMessage(NodeNews message) {
        long now = mContext.clock().now();
        StreamOriginCodec.validRecords(message)
                .forEach(o -> onRecord(o, now - age(o).toNanos(), now));
        StreamOriginCodec.validAnswers(message).forEach(a -> onAnswer(message.getNode(), a, now));
        List<StreamOrigin> answers =
                StreamOriginCodec.validQuestions(message).map(id -> answer(id, now)).toList();
        StreamOriginCodec.answers(answers).forEach(m -> mSender.accept(m, message.getIp()));
    }

    /** A record can't be older than this node would keep it. */
    private static Duration age(StreamOrigin origin) {
        long millis = Integer.toUnsignedLong(origin.getMsAgo());
        return Duration.ofMillis(Math.min(millis, StreamOrigins.EXPIRY.toMillis()));
    }

    private void onRecord(StreamOrigin origin, long recordedNanos, long now) {
        mOrigins.add(origin.getStream(), origin.getVersion(), recordedNanos);
        if (mOrigins.isDisputed(origin.getStream(), now)) {
            onDispute(origin.getStream());
        }
    }

    private void onDispute(String stream) {
        mContext.metrics().countEvent("stream_origin_disputed");
        mContext.log().event("stream_origin_disputed", "id", stream);
    }

    private StreamOrigin answer(String id, long now) {
        return StreamOriginCodec.answer(
                id,
                mOrigins.isDisputed(id, now)
                        ? OriginReply.CONFLICTING
                        : mOrigins.find(id, now)
                                .map(OriginReply::known)
                                .orElse(OriginReply.UNKNOWN));
    }

    private void onAnswer(String node, StreamOrigin answer, long now) {
        Question question = mQuestions.get(answer.getStream());
        if (question == null
                || !question.inquiry().onReply(node, StreamOriginCodec.reply(answer))) {
            return;
        }
        Optional<String> version = question.inquiry().version();
        version.ifPresent(v -> mOrigins.add(question.stream(), v, now));
        if (answer.getConflicting()) {
            onDispute(question.stream());
        }
        complete(question, version);
    }
}
