package org.fescuehollow.server.backend;

import static org.assertj.core.api.Assertions.catchThrowable;
import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fescuehollow.error.FescuehollowException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SseReaderTest {
    private static final int LONG_EVENT_BYTES = 1024 * 1024;
    private static final String EVENTS =
            "data: {\"model\": \"a@v1\", \"x\": 1}\n\ndata: {\"x\": 2}\r\n\r\ndata: [DONE]\n\n";

    @Property(tries = 300, seed = "20261204")
    void feed_handsOnTheSameBytesHoweverTheyAreCut(
            @ForAll @Size(max = 8) List<@IntRange(max = 80) Integer> cuts) {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 1_000);
        StringBuilder out = new StringBuilder();
        Set<Integer> places = new TreeSet<>(cuts);
        places.add(EVENTS.length());
        // WHEN
        int from = 0;
        for (int to : places) {
            int end = Math.min(to, EVENTS.length());
            if (end > from) {
                out.append(reader.feed(Buffer.buffer(EVENTS.substring(from, end))));
                from = end;
            }
        }
        // THEN
        then(out.toString()).isEqualTo(EVENTS);
        then(reader.isWhole()).isTrue();
    }

    @Property(tries = 500, seed = "20261204")
    void feed_answersAnyBytesOrRefusesThemWithACode(@ForAll @Size(max = 200) byte[] bytes) {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 100);
        // WHEN
        Throwable thrown = catchThrowable(() -> reader.feed(Buffer.buffer(bytes)));
        // THEN
        if (thrown != null) {
            then(thrown).isInstanceOf(FescuehollowException.class);
        }
    }

    /** Guards against text of a faulty backend server in the middle of a stream. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "internal error\n\n",
                "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n",
                "id: 1\n\n",
                "data: {\"x\": \u0007}\n\n"
            })
    void feed_refusesBytesThatAreNoEvent(String bytes) {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 1_000);
        reader.feed(Buffer.buffer(EVENTS.substring(0, EVENTS.indexOf("data: {\"x\": 2"))));
        // WHEN / THEN
        thenThrownBy(() -> reader.feed(Buffer.buffer(bytes))).hasMessageContaining("no event");
    }

    @Test
    void feed_passesOnComments() {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 1_000);
        // WHEN / THEN
        then(reader.feed(Buffer.buffer(": ping\n\n"))).hasToString(": ping\n\n");
        then(reader.feed(Buffer.buffer(EVENTS))).hasToString(EVENTS);
    }

    @Test
    void feed_refusesAnotherAdaptersAnswer() {
        // GIVEN
        SseReader reader = new SseReader("a@v2", 1_000);
        // WHEN / THEN
        thenThrownBy(() -> reader.feed(Buffer.buffer(EVENTS))).hasMessageContaining("a@v1");
    }

    @Test
    void feed_refusesEventsAfterTheFinalOne() {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 1_000);
        reader.feed(Buffer.buffer(EVENTS));
        // WHEN / THEN
        thenThrownBy(() -> reader.feed(Buffer.buffer("data: {\"x\": 3}\n\n")))
                .hasMessageContaining("follow the final one");
    }

    @Test
    void isWhole_isFalseBeforeTheFinalEvent() {
        // GIVEN
        SseReader reader = new SseReader("a@v1", 1_000);
        // WHEN
        reader.feed(Buffer.buffer(EVENTS.substring(0, EVENTS.length() - 1)));
        // THEN
        then(reader.isWhole()).isFalse();
    }

    @Test
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void feed_ofSingleBytesTakesTimeInProportionToTheirNumber() {
        SseReader reader = new SseReader("a@v1", LONG_EVENT_BYTES);
        Buffer data = Buffer.buffer("x");
        for (int i = 0; i < LONG_EVENT_BYTES; i++) {
            then(reader.feed(data).length()).isZero();
        }
        thenThrownBy(() -> reader.feed(data)).isInstanceOf(FescuehollowException.class);
    }
}
