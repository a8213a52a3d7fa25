package org.fescuehollow.gateway.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.node.NodeClock;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.versions.VersionRegistry;
import org.fescuehollow.wire.ExchangeProto.EnginesRead;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.junit.jupiter.api.Test;

/** Replays a node that is cut off from the store but not from the others. */
class EngineReadExchangeTest {
    private static final long INCARNATION = 7;
    private static final long DELAY_NANOS = Duration.ofSeconds(2).toNanos();

    private final NodeClock mClock = new NodeClock();
    private final List<NodeNews> mSent = new ArrayList<>();
    private final EngineReadExchange mExchange =
            new EngineReadExchange(
                    context(), INCARNATION, (message, ip) -> mSent.add(message.build()));
    private final VersionRegistry mFresh = new VersionRegistry(Duration.ofNanos(DELAY_NANOS));
    private final VersionRegistry mStale = new VersionRegistry(Duration.ofNanos(DELAY_NANOS));
    private final long mNow = mClock.now();

    EngineReadExchangeTest() {
        mFresh.onListed(List.of(engine("v1")), mNow);
        mStale.onListed(List.of(engine("v1")), mNow - 3 * DELAY_NANOS);
    }

    private NodeContext context() {
        JsonObject settings =
                new JsonObject()
                        .put("node", "node-0")
                        .put("domain", "north")
                        .put("ip", "10.0.0.1")
                        .put("callers", "10.0.0.1:1")
                        .put("readiness", "10.0.0.1:2")
                        .put("exchangePorts", new JsonArray().add(3))
                        .put("store", "10.0.0.1:4");
        return new NodeContext(
                null, null, null, null, mClock, NodeSettings.parse(settings.encode()), null, null);
    }

    private static Engine engine(String version) {
        return new Engine(
                "e1", 1, "llm", version, "10.0.0.2", 80, "d", 4, false, 0, Set.of("m"), Map.of());
    }

    private NodeNews question() {
        return mExchange.addTo(NodeNews.newBuilder().setSequence(4), mStale).build();
    }

    /** Returns the answer of a node that reads the store to the node that doesn't. */
    private NodeNews answer() {
        NodeNews asked = question().toBuilder().setIncarnation(INCARNATION).build();
        mExchange.onMessage(asked, mFresh);
        return mSent.get(0);
    }

    @Test
    void node_thatReadsTheStoreAsksNothing() {
        NodeNews message = mExchange.addTo(NodeNews.newBuilder(), mFresh).build();
        then(message.getSerializedSize()).isZero();
    }

    @Test
    void answer_withTheSameEntriesConfirmsThem() {
        then(mStale.isStale(mNow)).isTrue();
        mExchange.onMessage(answer(), mStale);
        then(mStale.isStale(mNow)).isFalse();
        then(mStale.isOutdated(mClock.now())).isFalse();
    }

    @Test
    void answer_withOtherEntriesMakesTheNodeOutdated() {
        mFresh.onEntry(engine("v2"), mNow);
        mExchange.onMessage(answer(), mStale);
        then(mStale.isStale(mNow)).isTrue();
        then(mStale.isOutdated(mClock.now())).isTrue();
    }

    @Test
    void answer_confirmsNoLaterTimeThanThatOfTheQuestion() {
        NodeNews answer = answer();
        EnginesRead late = answer.getEnginesRead().toBuilder().setMsAgo(1_500).build();
        long asked = late.getAsked();
        mExchange.onMessage(answer.toBuilder().setEnginesRead(late).build(), mStale);
        then(mStale.lastReadNanos()).isEqualTo(asked - Duration.ofMillis(1_500).toNanos());
    }

    @Test
    void answer_toAnEarlierIncarnationIsIgnored() {
        NodeNews answer = answer();
        EnginesRead other =
                answer.getEnginesRead().toBuilder().setIncarnation(INCARNATION - 1).build();
        mExchange.onMessage(answer.toBuilder().setEnginesRead(other).build(), mStale);
        then(mStale.isStale(mNow)).isTrue();
    }

    @Test
    void node_thatHearsNoOtherAnyMoreIsOutdated() {
        long later = mNow + 10 * DELAY_NANOS;
        then(mStale.isOutdated(later)).isFalse();
        mExchange.onMessage(NodeNews.getDefaultInstance(), mStale);
        then(mStale.isOutdated(mNow)).isFalse();
        then(mStale.isOutdated(later)).isTrue();
    }

    @Test
    void question_isNotAnsweredByANodeThatIsCutOffItself() {
        mExchange.onMessage(question(), mStale);
        then(mSent).isEmpty();
    }

    @Test
    void question_isAnsweredOnceOfFourTimes() {
        for (int i = 0; i < 12; i++) {
            mExchange.onMessage(question().toBuilder().setSequence(i).build(), mFresh);
        }
        then(mSent).hasSize(3);
    }
}
