package org.fescuehollow.responses;

import static org.assertj.core.api.BDDAssertions.then;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fescuehollow.streams.BodyFraming;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plain bodies in any packets, with and without a second response, cut at each byte. */
class PlainBodyCheckTest {
    private static final String BODY = "answer H HTTP/2 {\"protocol\":\"HTTP\"} 200 OK";
    private static final String SECOND = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\nbody";

    private static final String ID_FIELD = "X-Id";

    /** Fewer bytes of a status line can't be told from text. */
    private static final int MIN_CUT = "HTTP/".length();

    private static Optional<BodyDefect> check(BodyFraming framing, String body, int packet) {
        PlainBodyCheck check = new PlainBodyCheck(framing, false, ID_FIELD);
        for (int start = 0; start < body.length(); start += packet) {
            String part = body.substring(start, Math.min(body.length(), start + packet));
            check.feed(part.getBytes(StandardCharsets.ISO_8859_1));
        }
        check.end();
        return check.defect();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 11, 12, 1_000})
    void body_withASecondResponseIsNotSoundWhereverThatIsCut(int packet) {
        for (int cut = MIN_CUT; cut <= SECOND.length(); cut++) {
            for (String first : new String[] {"", "b", BODY}) {
                then(check(BodyFraming.CONNECTION_END, first + SECOND.substring(0, cut), packet))
                        .hasValue(BodyDefect.SECOND_STATUS_LINE);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void body_withASecondResponseWithASpoiledByteIsNotSound(int packet) {
        for (int i = 0; i < "HTTP/1.1 200".length(); i++) {
            String spoiled = SECOND.substring(0, i) + '!' + SECOND.substring(i + 1);
            then(check(BodyFraming.CONNECTION_END, BODY + spoiled, packet))
                    .hasValue(BodyDefect.SECOND_STATUS_LINE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void body_ofOneResponseIsSound(int packet) {
        then(check(BodyFraming.CONNECTION_END, BODY, packet)).isEmpty();
        then(check(BodyFraming.CONNECTION_END, "", packet)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = BodyFraming.class,
            names = {"LENGTH", "CHUNKS"})
    void body_whoseEndIsMarkedMayContainAResponse(BodyFraming framing) {
        then(check(framing, BODY + SECOND, 7)).isEmpty();
        then(new PlainBodyCheck(framing, true, ID_FIELD).defect()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 7, 1_000})
    void body_whoseEndIsMarkedIsNotSoundIfAResponseInItNamesARequest(int packet) {
        String second = "HTTP/1.1 200 OK\r\nServer: x\r\nx-id: 1\r\n\r\n";
        for (BodyFraming framing : new BodyFraming[] {BodyFraming.LENGTH, BodyFraming.CHUNKS}) {
            then(check(framing, BODY + second, packet)).hasValue(BodyDefect.SECOND_STATUS_LINE);
            then(check(framing, BODY + " x-id: 1", packet)).isEmpty();
        }
    }

    @Test
    void body_thatEndsWithAUsedConnectionIsNotSound() {
        then(new PlainBodyCheck(BodyFraming.CONNECTION_END, true, ID_FIELD).defect())
                .hasValue(BodyDefect.UNMARKED_END);
    }
}
