package org.fescuehollow.streams;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lines of one server-sent event, read strictly: a spoiled event should be noticed rather than
 * repaired.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param ids how many lines name an id
 * @param id the text of the last of them; empty if there is none
 * @param data the text of each data line
 * @param comment whether all lines are comments or empty, so that there is no event
 */
public record EventFields(int ids, String id, List<String> data, boolean comment) {
    private static final String ID = "id";
    private static final String DATA = "data";

    /** Copies the list. */
    public EventFields {
        data = List.copyOf(data);
    }

    /**
     * Reads the lines of an event.
     *
     * @param bytes the bytes up to the empty line, UTF-8 with LF or CRLF at the end of each line
     * @return the fields; empty if the bytes are no text or a line is no field
     */
    public static Optional<EventFields> parse(byte[] bytes) {
        int ids = 0;
        String id = "";
        List<String> data = new ArrayList<>(1);
        boolean comment = true;
        for (String line : decode(bytes).split("\n", -1)) {
            String field = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            if (field.isEmpty() || field.startsWith(":") && isText(field)) {
                continue;
            }
            int colon = field.indexOf(':');
            if (colon <= 0 || !isName(field, colon) || !isText(field)) {
                return Optional.empty();
            }
            comment = false;
            String name = field.substring(0, colon);
            String text = field.substring(colon + 1).strip();
            if (name.equals(DATA)) {
                data.add(text);
            } else if (name.equals(ID)) {
                ids++;
                id = text;
            }
        }
        return Optional.of(new EventFields(ids, id, data, comment));
    }

    /** Returns the text; one with a malformed line if the bytes are not UTF-8. */
    private static String decode(byte[] bytes) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        try {
            return decoder.decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            return "\0";
        }
    }

    private static boolean isName(String field, int end) {
        return field.chars().limit(end).allMatch(EventFields::isNameCharacter);
    }

    private static boolean isNameCharacter(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-';
    }

    private static boolean isText(String field) {
        return field.chars().allMatch(c -> c >= ' ' && c != 0x7f || c == '\t');
    }
}
