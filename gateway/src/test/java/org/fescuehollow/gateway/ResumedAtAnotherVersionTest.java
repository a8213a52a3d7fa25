package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Streams that the gateway resumes within one response, at engines of another software version. */
@Timeout(60)
class ResumedAtAnotherVersionTest {
    /** Far less than the deadline of the requests. */
    private static final Duration AT_ONCE = Duration.ofSeconds(10);

    /** Longer than a node takes to read a changed entry. */
    private static final long READ_MILLIS = 5_000;

    /**
     * A short time until engines that leave get no more requests, for which entries are read often.
     */
    private static final int SHORT_DRAIN_MILLIS = 400;

    /** Longer than a node then takes to read a changed entry, and no silence yet. */
    private static final long SHORT_READ_MILLIS = 600;

    private final TestCluster mCluster = new TestCluster();
    private final StreamClient mClient = new StreamClient(mCluster);

    @BeforeEach
    void configure() {
        mCluster.bounds(new JsonObject().put("retrySlack", 100));
        mCluster.configure(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private List<VersionedEngine> addEngines(String... versions) {
        return IntStream.range(0, versions.length)
                .mapToObj(i -> new VersionedEngine(mCluster, "i-" + i, versions[i]))
                .toList();
    }

    @ParameterizedTest
    @EnumSource(names = {"BREAKS_OFF", "FALLS_SILENT"})
    void stream_isResumedOnlyAtTheVersionThatBeganIt(AfterFirstEvent newRuns) {
        addEngines("v1", "v2", "v1", "v2")
                .forEach(e -> e.runs(newRuns, AfterFirstEvent.ENDS_WHOLE));
        mCluster.startNodes(1);
        List<Answer> answers =
                IntStream.range(0, 10).mapToObj(i -> mClient.read(0, "id-" + i)).toList();
        then(answers).allSatisfy(a -> then(a.versions()).hasSize(1));
        then(answers).allSatisfy(a -> then(a.isServed()).isTrue());
    }

    @Test
    void stream_isAbortedAtOnceIfNoEngineOfItsVersionIsLeft() throws Exception {
        // GIVEN engines of which only one has the version that began the stream
        List<VersionedEngine> engines = addEngines("v1", "v2");
        engines.forEach(e -> e.runs(AfterFirstEvent.BREAKS_OFF, AfterFirstEvent.ENDS_WHOLE));
        engines.forEach(
                e ->
                        e.beforeBreakingOff(
                                () -> {
                                    e.leave();
                                    return READ_MILLIS;
                                }));
        mCluster.startNodes(1);
        // WHEN that engine leaves and breaks the stream off
        long start = System.nanoTime();
        Answer answer = mClient.read(0, "id-1");
        // THEN the response ends without an event of the other one
        then(Duration.ofNanos(System.nanoTime() - start)).isLessThan(AT_ONCE);
        then(answer.versions()).hasSize(1);
        then(answer.complete()).isFalse();
    }

    @Test
    void stream_isNotResumedAtAnEngineThatCameBackWithAnotherVersion() {
        // GIVEN engines that start again under their ids, with another version
        mCluster.bounds(new JsonObject().put("drainMillis", SHORT_DRAIN_MILLIS));
        List<VersionedEngine> engines = addEngines("v1", "v1");
        engines.forEach(e -> e.runs(AfterFirstEvent.BREAKS_OFF, AfterFirstEvent.ENDS_WHOLE));
        engines.forEach(
                e ->
                        e.beforeBreakingOff(
                                () -> {
                                    engines.forEach(o -> o.restartAs("v2"));
                                    return SHORT_READ_MILLIS;
                                }));
        mCluster.startNodes(1);
        Answer answer = mClient.read(0, "id-1");
        // THEN its streams of the old version don't go on
        then(answer.versions()).containsExactly("v1");
        then(answer.complete()).isFalse();
    }

    @Test
    void stream_withoutAnEventIsSentToAnyVersion() {
        List<VersionedEngine> engines = addEngines("v1", "v2");
        engines.get(0).dropsNewRuns();
        mCluster.startNodes(1);
        List<Answer> answers =
                IntStream.range(0, 10).mapToObj(i -> mClient.read(0, "id-" + i)).toList();
        then(answers)
                .filteredOn(Answer::isServed)
                .hasSizeGreaterThan(3)
                .allSatisfy(a -> then(a.versions()).containsExactly("v2"));
    }
}
