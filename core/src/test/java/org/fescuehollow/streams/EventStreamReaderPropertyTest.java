package org.fescuehollow.streams;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * What the reader promises for any stream, any cut, any spoiled bytes and any limits of packets.
 */
class EventStreamReaderPropertyTest {
    private static final int TRIES = 2_000;

    /** Events of a run, with the forms that engines use. */
    private static byte[] event(int id, int form) {
        String text =
                switch (form) {
                    case 0 -> "id: " + id + "\ndata: t" + id + "\n\n";
                    case 1 -> "x-version: 2\nid: " + id + "\ndata: t" + id + "\n\n";
                    case 2 -> "id:" + id + "\r\ndata:\r\ndata: \u00e9\r\n\r\n";
                    default ->
                            "event: token\ndata: " + "y".repeat(id % 50) + "\nid: " + id + "\n\n";
                };
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<byte[]> run(int events, int form) {
        List<byte[]> run = new ArrayList<>();
        for (int i = 1; i <= events; i++) {
            run.add(event(i, (form + i) % 4));
        }
        return run;
    }

    private static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        parts.forEach(out::writeBytes);
        return out.toByteArray();
    }

    private static byte[] feed(EventStreamReader reader, byte[] bytes, List<Integer> packets) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int start = 0;
        for (int i = 0; start < bytes.length; i++) {
            int end = Math.min(bytes.length, start + packets.get(i % packets.size()));
            out.writeBytes(reader.feed(Arrays.copyOfRange(bytes, start, end)));
            start = end;
        }
        return out.toByteArray();
    }

    @Property(tries = TRIES, seed = "20261205")
    void stream_isPassedOnUnchangedHoweverItIsCutIntoPackets(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll @IntRange(max = 3) int form,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 40) Integer> packets) {
        byte[] stream = join(run(events, form));
        EventStreamReader reader = new EventStreamReader("", "x-version", new EventIdSteps());
        then(feed(reader, stream, packets)).isEqualTo(stream);
        then(reader.isWhole(BodyFraming.CONNECTION_END)).isTrue();
    }

    @Property(tries = TRIES, seed = "20261205")
    void stream_thatIsCutAnywhereIsWholeOnlyAtTheEndOfAnEvent(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll @IntRange(max = 3) int form,
            @ForAll @IntRange(max = 2_000) int cut,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 40) Integer> packets) {
        List<byte[]> run = run(events, form);
        byte[] stream = join(run);
        int length = cut % (stream.length + 1);
        EventStreamReader reader = new EventStreamReader("", "x-version", new EventIdSteps());
        byte[] passedOn = feed(reader, Arrays.copyOf(stream, length), packets);
        then(prefixes(run)).anySatisfy(p -> then(p).isEqualTo(passedOn));
        then(reader.defect()).isEmpty();
        boolean atEventEnd = length > 0 && passedOn.length == length;
        then(reader.isWhole(BodyFraming.CHUNKS)).isEqualTo(atEventEnd);
    }

    @Property(tries = TRIES, seed = "20261205")
    void stream_thatIsCutAndResumedIsTheWholeRun(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll @IntRange(max = 3) int form,
            @ForAll @IntRange(max = 2_000) int cut,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 40) Integer> packets) {
        List<byte[]> run = run(events, form);
        byte[] stream = join(run);
        EventStreamReader reader = new EventStreamReader("", "x-version", new EventIdSteps());
        byte[] first = feed(reader, Arrays.copyOf(stream, cut % stream.length), packets);
        int next = reader.lastEventId().isEmpty() ? 0 : Integer.parseInt(reader.lastEventId());
        reader.resume();
        byte[] second = feed(reader, join(run.subList(next, events)), packets);
        then(join(List.of(first, second))).isEqualTo(stream);
        then(reader.isWhole(BodyFraming.LENGTH)).isTrue();
    }

    /**
     * Inserts bytes that are no event. Those that consist of comments and empty lines alone are
     * left out, as they may stand between events.
     */
    @Property(tries = TRIES, seed = "20261205")
    void bytes_betweenEventsNeverReachTheClient(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll @IntRange(max = 3) int form,
            @ForAll @IntRange(max = 12) int position,
            @ForAll @Size(min = 1, max = 60) byte[] spoiled,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 40) Integer> packets) {
        List<byte[]> run = run(events, form);
        int before = position % (events + 1);
        byte[] stream =
                join(
                        List.of(
                                join(run.subList(0, before)),
                                spoiled,
                                "\n\n".getBytes(StandardCharsets.UTF_8),
                                join(run.subList(before, events))));
        EventStreamReader reader = new EventStreamReader("", "x-version", new EventIdSteps());
        byte[] passedOn = feed(reader, stream, packets);
        then(prefixes(run)).anySatisfy(p -> then(p).isEqualTo(passedOn));
        boolean whole = reader.isWhole(BodyFraming.CONNECTION_END);
        then(!whole || Arrays.equals(passedOn, join(run))).isTrue();
    }

    /**
     * A spoiled byte may change text that nobody can check, but neither the number nor the order.
     */
    @Property(tries = TRIES, seed = "20261205")
    void byte_thatIsSpoiledNeverMakesAStreamWholeBeforeItsLastEvent(
            @ForAll @IntRange(min = 3, max = 12) int events,
            @ForAll @IntRange(max = 2_000) int position,
            @ForAll byte value,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 40) Integer> packets) {
        byte[] stream = join(run(events, 0));
        stream[position % stream.length] = value;
        EventStreamReader reader = new EventStreamReader("", "x-version", new EventIdSteps());
        feed(reader, stream, packets);
        if (reader.isWhole(BodyFraming.LENGTH)) {
            then(reader.lastEventId()).isEqualTo(String.valueOf(events));
        }
    }

    private static List<byte[]> prefixes(List<byte[]> run) {
        List<byte[]> prefixes = new ArrayList<>();
        for (int i = 0; i <= run.size(); i++) {
            prefixes.add(join(run.subList(0, i)));
        }
        return prefixes;
    }
}
