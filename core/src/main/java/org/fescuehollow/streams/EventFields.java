package org.fescuehollow.streams;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The lines of one server-sent event, read strictly: a spoiled event should be noticed rather than
 * repaired. A line is a comment, or one of the fields id, data, event and retry; all lines of an
 * event end alike.
 *
 * <p>Invariant: does not change once {@link #parse} has returned it. Safe for use by any thread
 * that gets it safely.
 */
public final class EventFields {
    private final byte[] mBlock;
    private int mIds;
    private String mId = "";
    private int mDataLines;
    private int mFields;

    /** The fields that an event may have. */
    private enum Field {
        ID,
        DATA,
        EVENT,
        RETRY;

        private final byte[] mPrefix =
                (name().toLowerCase(Locale.ROOT) + ":").getBytes(StandardCharsets.US_ASCII);

        static Optional<Field> of(byte[] block, int start, int end) {
            return Stream.of(values()).filter(f -> f.startsLine(block, start, end)).findFirst();
        }

        private boolean startsLine(byte[] block, int start, int end) {
            int colon = Math.min(end, start + mPrefix.length);
            return Arrays.equals(block, start, colon, mPrefix, 0, mPrefix.length);
        }

        private String text(byte[] block, int start, int end) {
            int from = start + mPrefix.length;
            return new String(block, from, end - from, StandardCharsets.UTF_8).strip();
        }
    }

    private EventFields(byte[] block) {
        mBlock = block;
    }

    /**
     * Reads the lines of an event.
     *
     * @param block the bytes up to and including the empty line, UTF-8 with LF or CRLF at the end
     *     of each line
     * @param headField the name of a field with a number that the first line may have, in lower
     *     case; empty for none
     * @return the fields; empty if the bytes are no text or a line is neither field nor comment
     */
    public static Optional<EventFields> parse(byte[] block, String headField) {
        EventFields fields = new EventFields(block);
        return fields.readLines(headField) && fields.isUtf8()
                ? Optional.of(fields)
                : Optional.empty();
    }

    private boolean readLines(String headField) {
        boolean crlf = lineEnd(0) > 0 && mBlock[lineEnd(0) - 1] == '\r';
        for (int start = 0; start < mBlock.length; start = lineEnd(start) + 1) {
            int end = lineEnd(start);
            boolean endsWithCr = end > start && mBlock[end - 1] == '\r';
            if (endsWithCr != crlf || !readLine(start, endsWithCr ? end - 1 : end, headField)) {
                return false;
            }
        }
        return true;
    }

    private int lineEnd(int start) {
        int end = start;
        while (end < mBlock.length - 1 && mBlock[end] != '\n') {
            end++;
        }
        return end;
    }

    private boolean readLine(int start, int end, String headField) {
        if (!isText(start, end)) {
            return false;
        }
        if (start == end || mBlock[start] == ':') {
            return true;
        }
        Optional<Field> field = Field.of(mBlock, start, end);
        if (field.isEmpty()) {
            return start == 0 && isHeadField(end, headField);
        }
        mFields++;
        if (field.get() == Field.DATA) {
            mDataLines++;
        } else if (field.get() == Field.ID) {
            mIds++;
            mId = Field.ID.text(mBlock, start, end);
        }
        return true;
    }

    private boolean isHeadField(int end, String name) {
        String line = new String(mBlock, 0, end, StandardCharsets.US_ASCII);
        mFields++;
        return !name.isEmpty()
                && line.startsWith(name + ":")
                && EventIds.isNumber(line.substring(name.length() + 1).strip());
    }

    private boolean isText(int start, int end) {
        for (int i = start; i < end; i++) {
            if (mBlock[i] >= 0 && mBlock[i] < ' ' && mBlock[i] != '\t' || mBlock[i] == 0x7f) {
                return false;
            }
        }
        return true;
    }

    private boolean isUtf8() {
        try {
            return isAscii()
                    || StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(mBlock)) != null;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    private boolean isAscii() {
        for (byte b : mBlock) {
            if (b < 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns how many lines name an id.
     *
     * @return the number of lines
     */
    public int ids() {
        return mIds;
    }

    /**
     * Returns the last id.
     *
     * @return the text; empty if there is none
     */
    public String id() {
        return mId;
    }

    /**
     * Returns whether a line has data.
     *
     * @return true if there is such a line
     */
    public boolean hasData() {
        return mDataLines > 0;
    }

    /**
     * Returns the text of each data line.
     *
     * @return the texts in order, without the space at their ends
     */
    public Stream<String> data() {
        return new String(mBlock, StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.startsWith("data:"))
                .map(l -> l.substring("data:".length()).strip());
    }

    /**
     * Returns whether all lines are comments or empty, so that there is no event.
     *
     * @return true if no line is a field
     */
    public boolean isComment() {
        return mFields == 0;
    }
}
