package org.fescuehollow.streams;

import static org.assertj.core.api.BDDAssertions.then;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class EventStreamReaderTest {
    private static final String HEAD_FIELD = "x-version";

    private final EventIdSteps mSteps = new EventIdSteps();
    private final EventStreamReader mReader = new EventStreamReader("", HEAD_FIELD, mSteps);

    private String feed(String text) {
        return feed(mReader, text);
    }

    private static String feed(EventStreamReader reader, String text) {
        byte[] events = reader.feed(text.getBytes(StandardCharsets.ISO_8859_1));
        return new String(events, StandardCharsets.ISO_8859_1);
    }

    private static String events(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: " + i + "\n\n")
                .collect(Collectors.joining());
    }

    @Test
    void feed_keepsAPartialEventUntilTheStreamIsResumed() {
        then(feed(events(1, 1) + "id: 2\nda")).isEqualTo(events(1, 1));
        then(mReader.lastEventId()).isEqualTo("1");
        then(mReader.isWhole(BodyFraming.CHUNKS)).isFalse();
        mReader.resume();
        then(feed(events(2, 2))).isEqualTo(events(2, 2));
        then(mReader.lastEventId()).isEqualTo("2");
        then(mReader.isWhole(BodyFraming.CHUNKS)).isTrue();
    }

    @Test
    void feed_passesOnAllFieldsAndLineEndsUnchanged() {
        String event =
                "x-version: 3\r\n"
                        + "id:7\r\n"
                        + "event: token\r\n"
                        + "data: a: b\r\n"
                        + "data:\tc\u00c3\u00a9\r\n\r\n";
        then(feed(event)).isEqualTo(event);
        then(mReader.defect()).isEmpty();
        then(mReader.lastEventId()).isEqualTo("7");
    }

    @Test
    void feed_dropsCommentsAndEmptyLinesBetweenEvents() {
        then(feed("\n\n: ping\n\n" + events(1, 1) + "\r\n\r\n:\n\n" + events(2, 2)))
                .isEqualTo(events(1, 2));
        then(mReader.isWhole(BodyFraming.CONNECTION_END)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "data: 2, NO_ID",
        "id: 2, NO_DATA",
        "id:, NO_ID",
        "id: two\\ndata: 2, NO_ID",
        "id: -2\\ndata: 2, NO_ID",
        "id: 2\\nid: 3\\ndata: 2, NO_ID",
        "id: 9223372036854775808\\ndata: 2, NO_ID",
        "id: 12345678901234567890\\ndata: 2, NO_ID",
        "id: 1\\ndata: 2, ID_NOT_INCREASING",
        "id: 0\\ndata: 2, ID_NOT_INCREASING",
        "HTTP/1.1 200 OK\\r\\nServer: x, MALFORMED_LINE",
        "internal error, MALFORMED_LINE",
        "id: 2\\nda ta: 2, MALFORMED_LINE",
        "id: 2\\ndata: 2HTTP/1.1 200 OK\\r\\nServer: x\\r, MALFORMED_LINE",
        "id: 2\\ndata: 2HTTP/1.1 200 OK\\r\\n\\r, MALFORMED_LINE",
        "id: 2\\ndata: 2\\nx-version: 1, MALFORMED_LINE",
        "x-version: one\\nid: 2\\ndata: 2, MALFORMED_LINE",
        "x-other: 1\\nid: 2\\ndata: 2, MALFORMED_LINE",
        "id: 2\\ndata: \\0, MALFORMED_LINE",
        "id: 2\\ndata: a\\rb, MALFORMED_LINE",
        "id: 2\\ndata: \\377, MALFORMED_LINE",
        "id: 2\\n: \\7\\ndata: 2, MALFORMED_LINE"
    })
    void feed_passesOnNothingFromTheFirstDefect(String event, EventDefect defect) {
        String bytes = event.translateEscapes();
        then(feed(events(1, 1) + bytes + "\n\n" + events(3, 3))).isEqualTo(events(1, 1));
        then(mReader.defect()).contains(defect);
        then(feed(events(2, 2))).isEmpty();
        then(mReader.isWhole(BodyFraming.CHUNKS)).isFalse();
        then(mReader.lastEventId()).isEqualTo("1");
    }

    private void showThatIdsCountEvents() {
        EventStreamReader reader = new EventStreamReader("", HEAD_FIELD, mSteps);
        feed(reader, events(1, 40));
    }

    @ParameterizedTest
    @CsvSource({"1, 4, 2", "2, 4, 0", "1, 3, 1"})
    void feed_noticesThatAnEventIsMissingOnceIdsHaveShownThatTheyCountEvents(
            int first, int third, int passedOn) {
        showThatIdsCountEvents();
        String stream = events(first, first + passedOn - 1) + events(third, third);
        then(feed(passedOn == 0 ? events(2, 4) : stream)).isEqualTo(events(1, passedOn));
        then(mReader.defect()).contains(EventDefect.EVENT_MISSING);
    }

    @Test
    void feed_noticesAcrossEnginesThatAnEventIsMissingOrRepeated() {
        showThatIdsCountEvents();
        feed(events(1, 3));
        mReader.resume();
        then(feed(events(5, 5))).isEmpty();
        then(mReader.defect()).contains(EventDefect.EVENT_MISSING);
        mReader.resume();
        then(feed(events(1, 5))).isEmpty();
        then(mReader.defect()).contains(EventDefect.ID_NOT_INCREASING);
        mReader.resume();
        then(feed(events(4, 5))).isEqualTo(events(4, 5));
    }

    /** Guards against sound streams that are broken off as their ids count tokens. */
    @Test
    void feed_acceptsIdsThatCountSomethingElse() {
        for (int i = 0; i < 100; i++) {
            EventStreamReader reader = new EventStreamReader("", HEAD_FIELD, mSteps);
            String stream = events(1, 3) + events(6, 7) + events(11, 12);
            then(feed(reader, stream)).isEqualTo(stream);
            then(reader.defect()).isEmpty();
        }
    }

    /** Guards against a service that is broken off for good once its ids count something else. */
    @Test
    void feed_acceptsGapsAgainIfIdsNoLongerCountEvents() {
        feed(events(1, 2_000));
        int brokenOff = 0;
        for (int i = 0; i < 100; i++) {
            EventStreamReader reader = new EventStreamReader("", HEAD_FIELD, mSteps);
            feed(reader, events(1, 1) + events(6, 6));
            brokenOff += reader.defect().isPresent() ? 1 : 0;
        }
        then(brokenOff).isBetween(1, 32);
    }

    @Test
    void feed_acceptsIdsOfNineteenDigits() {
        String event = "id: 1764956040123456789\ndata: a\n\n";
        then(feed(event)).isEqualTo(event);
    }

    @Test
    void feed_endsAnEventWithoutEnd() {
        String part = "id: 1\ndata: " + "x".repeat(EventStreamReader.MAX_EVENT_BYTES / 2);
        then(feed(part)).isEmpty();
        then(mReader.defect()).isEmpty();
        feed(part);
        then(mReader.defect()).contains(EventDefect.TOO_LONG);
    }

    @ParameterizedTest
    @EnumSource(BodyFraming.class)
    void isWhole_needsAnEvent(BodyFraming framing) {
        then(mReader.isWhole(framing)).isFalse();
        feed(events(1, 1));
        then(mReader.isWhole(framing)).isTrue();
    }

    @ParameterizedTest
    @EnumSource(BodyFraming.class)
    void isWhole_holdsForAResumedStreamWithoutFurtherEventsIfItsEndIsMarked(BodyFraming framing) {
        EventStreamReader resumedByClient = new EventStreamReader("3", HEAD_FIELD, mSteps);
        then(resumedByClient.isWhole(framing)).isEqualTo(framing != BodyFraming.CONNECTION_END);
        feed(events(1, 3));
        mReader.resume();
        then(mReader.isWhole(framing)).isEqualTo(framing != BodyFraming.CONNECTION_END);
    }

    @Test
    void feed_passesOnOnlyLaterEventsToAClientThatResumes() {
        EventStreamReader reader = new EventStreamReader("3", HEAD_FIELD, mSteps);
        then(feed(reader, events(3, 4))).isEmpty();
        then(reader.defect()).contains(EventDefect.ID_NOT_INCREASING);
        reader.resume();
        then(feed(reader, events(4, 5))).isEqualTo(events(4, 5));
    }
}
