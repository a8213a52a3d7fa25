package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.StreamClient;
import org.fescuehollow.gateway.testsupport.StreamClient.Answer;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.gateway.testsupport.VersionedEngine;
import org.fescuehollow.gateway.testsupport.VersionedEngine.AfterFirstEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Streams that clients take up again, at engines of another software version than the one that sent
 * their first event.
 */
@Timeout(90)
class TakenUpAtAnotherVersionTest {
    private static final int STREAMS = 16;

    /** Nodes keep what they know of versions for longer. */
    private static final int ROUTE_TIMEOUT_MILLIS = 20_000;

    /** Less than the timeout of the route. */
    private static final Duration AT_ONCE = Duration.ofSeconds(5);

    /** Longer than nodes take to find each other and to read the store's history. */
    private static final long START_MILLIS = 1_500;

    /** Longer than nodes take to read changed entries and to place new streams by them. */
    private static final long READ_MILLIS = 5_000;

    private final TestCluster mCluster = new TestCluster();
    private final StreamClient mClient = new StreamClient(mCluster);

    @BeforeEach
    void configure() {
        mCluster.bounds(new JsonObject().put("retrySlack", 100));
        mCluster.routeTimeout(ROUTE_TIMEOUT_MILLIS).configure(1);
    }

    private void startNodes(int count) throws InterruptedException {
        mCluster.startNodes(count);
        TimeUnit.MILLISECONDS.sleep(START_MILLIS);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private VersionedEngine addEngine(String id, String version) {
        return new VersionedEngine(mCluster, id, version)
                .runs(AfterFirstEvent.FALLS_SILENT, AfterFirstEvent.ENDS_WHOLE);
    }

    private List<VersionedEngine> addEngines(String... versions) {
        return IntStream.range(0, versions.length)
                .mapToObj(i -> addEngine("i-" + i, versions[i]))
                .toList();
    }

    private static List<String> ids(String name) {
        return IntStream.range(0, STREAMS).mapToObj(i -> name + "-" + i).toList();
    }

    /** Begins streams and leaves each after its first event; returns their versions. */
    private Map<String, String> begin(int node, String name) {
        List<String> ids = ids(name);
        List<Answer> begun = mClient.readOneEventOfEach(node, ids);
        return IntStream.range(0, STREAMS)
                .boxed()
                .collect(Collectors.toMap(ids::get, i -> begun.get(i).versions().get(0)));
    }

    private Answer takeUp(int node, String first) {
        return mClient.takeUp(node, first + "-again", 1, first);
    }

    private static void awaitRead() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
    }

    /** Takes streams up; each must go on at its version or be refused, and half must go on. */
    private void thenStreamsGoOnOnlyAtTheirVersions(Map<String, String> streams, int node) {
        Map<String, Answer> answers =
                streams.keySet().stream()
                        .collect(Collectors.toMap(Function.identity(), id -> takeUp(node, id)));
        answers.forEach(
                (id, a) -> {
                    if (a.status() == 200) {
                        then(a.versions()).as(id).containsExactly(streams.get(id));
                    } else {
                        then(a.status()).as(id).isEqualTo(503);
                    }
                });
        then(answers.values())
                .filteredOn(Answer::isServed)
                .hasSizeGreaterThanOrEqualTo(STREAMS / 2);
    }

    @Test
    void takeUp_atAnotherNodeGoesOnOnlyAtTheVersionThatBeganTheStream() throws Exception {
        addEngines("v1", "v2", "v1", "v2");
        startNodes(3);
        Map<String, String> streams = begin(0, "id");
        then(streams.values()).contains("v1", "v2");
        thenStreamsGoOnOnlyAtTheirVersions(streams, 1);
        thenStreamsGoOnOnlyAtTheirVersions(streams, 0);
    }

    @Test
    void takeUp_afterARestartOfAllNodesGoesOnOnlyAtTheVersionThatBeganTheStream() throws Exception {
        addEngines("v1", "v2", "v1", "v2");
        startNodes(2);
        Map<String, String> streams = begin(0, "id");
        then(streams.values()).contains("v1", "v2");
        mCluster.restartNodes();
        TimeUnit.MILLISECONDS.sleep(START_MILLIS);
        thenStreamsGoOnOnlyAtTheirVersions(streams, 1);
    }

    @Test
    void takeUp_afterAnotherVersionWasAddedGoesOnOnlyAtTheVersionThatBeganTheStream()
            throws Exception {
        addEngines("v1", "v1");
        startNodes(3);
        Map<String, String> streams = begin(0, "id");
        addEngine("i-8", "v2");
        addEngine("i-9", "v2");
        thenStreamsGoOnOnlyAtTheirVersions(streams, 1);
        awaitRead();
        then(begin(0, "later").values()).contains("v1", "v2");
        thenStreamsGoOnOnlyAtTheirVersions(streams, 2);
    }

    @Test
    void takeUp_whileEntriesChangeTheirVersionGoesOnOnlyAtTheVersionThatBeganTheStream()
            throws Exception {
        // GIVEN engines of which some start again under their ids, with another version
        List<VersionedEngine> engines = addEngines("v1", "v1", "v1", "v1");
        startNodes(3);
        Map<String, String> streams = begin(0, "id");
        engines.subList(0, 2).forEach(e -> e.restartAs("v2"));
        awaitRead();
        // WHEN streams of before are taken up
        thenStreamsGoOnOnlyAtTheirVersions(streams, 1);
    }

    @Test
    void takeUp_ofAVersionThatNoEngineServesIsRefusedAtOnce() throws Exception {
        // GIVEN streams of a version whose engines then leave
        List<VersionedEngine> old = addEngines("v1", "v1");
        startNodes(3);
        Map<String, String> streams = begin(0, "id");
        List<VersionedEngine> next = List.of(addEngine("i-8", "v2"), addEngine("i-9", "v2"));
        old.get(0).drain();
        old.get(1).leave();
        awaitRead();
        // WHEN they are taken up at any node
        for (int node = 0; node < 3; node++) {
            for (String id : streams.keySet()) {
                long start = System.nanoTime();
                Answer answer = readTakeUpError(node, id);
                // THEN they are refused at once, for good
                then(answer.status()).isEqualTo(503);
                then(answer.retryAfter()).isNull();
                then(Duration.ofNanos(System.nanoTime() - start)).isLessThan(AT_ONCE);
            }
        }
        // AND no engine ran them
        then(next).allSatisfy(e -> then(e.receivedIds()).isEmpty());
    }

    private Answer readTakeUpError(int node, String first) {
        return mClient.readError(
                node, first + "-again-" + node, "Last-Event-Id", "1", "Resumes", first);
    }

    @Test
    void takeUp_ofAnUnknownAttemptGoesOnAtOneVersionOnly() throws Exception {
        addEngines("v1", "v2", "v1", "v2");
        startNodes(3);
        for (String id : ids("unknown")) {
            long start = System.nanoTime();
            List<String> versions =
                    IntStream.range(0, 3)
                            .mapToObj(n -> mClient.takeUp(n, id + "-again-" + n, 1, id))
                            .flatMap(a -> a.versions().stream())
                            .distinct()
                            .toList();
            then(versions).hasSizeLessThanOrEqualTo(1);
            then(Duration.ofNanos(System.nanoTime() - start)).isLessThan(AT_ONCE);
        }
    }

    @Test
    void takeUps_inAChainGoOnOnlyAtTheVersionThatBeganTheStream() throws Exception {
        addEngines("v1", "v2", "v1", "v2")
                .forEach(e -> e.runs(AfterFirstEvent.FALLS_SILENT, AfterFirstEvent.FALLS_SILENT));
        startNodes(3);
        Map<String, String> streams = begin(0, "id");
        streams.forEach(
                (first, version) -> {
                    for (int event = 1; event < VersionedEngine.EVENTS; event++) {
                        Answer answer =
                                mClient.readOneEvent(
                                        event % 3,
                                        first + "-again-" + event,
                                        "Last-Event-Id",
                                        Integer.toString(event),
                                        "Resumes",
                                        first);
                        then(answer.status()).as(first).isIn(200, 503);
                        then(answer.versions()).as(first).isSubsetOf(version);
                    }
                });
    }

    @Test
    void takeUp_withoutTheAttemptThatBeganIsRefusedWhileTwoVersionsServe() throws Exception {
        List<VersionedEngine> engines = addEngines("v1", "v2");
        startNodes(1);
        begin(0, "id");
        for (String id : ids("id")) {
            Answer answer = mClient.readError(0, id + "-again", "Last-Event-Id", "1");
            then(answer.status()).isEqualTo(503);
        }
        then(engines)
                .allSatisfy(
                        e -> then(e.receivedIds()).noneSatisfy(id -> then(id).endsWith("-again")));
    }

    @Test
    void takeUp_withoutTheAttemptThatBeganGoesOnIfOneVersionServes() throws Exception {
        addEngines("v1", "v1");
        startNodes(1);
        Map<String, String> streams = begin(0, "id");
        then(streams.keySet())
                .allSatisfy(
                        id ->
                                then(mClient.read(0, id + "-again", "Last-Event-Id", "1"))
                                        .satisfies(a -> then(a.isServed()).isTrue()));
    }

    @Test
    void takeUp_withoutAnEventBeginsAnew() throws Exception {
        List<VersionedEngine> old = addEngines("v1", "v1");
        startNodes(1);
        begin(0, "id");
        addEngine("i-9", "v2").runs(AfterFirstEvent.ENDS_WHOLE, AfterFirstEvent.ENDS_WHOLE);
        old.forEach(VersionedEngine::leave);
        awaitRead();
        for (String id : ids("id")) {
            Answer answer = mClient.read(0, id + "-again", "Resumes", id);
            then(answer.isServed()).isTrue();
            then(answer.versions()).containsExactly("v2");
        }
        then(mClient.read(0, "id-last", "Resumes", "id-0", "Last-Event-Id", "").isServed())
                .isTrue();
    }
}
