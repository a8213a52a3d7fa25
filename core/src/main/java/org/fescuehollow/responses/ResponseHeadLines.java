package org.fescuehollow.responses;

import java.util.Optional;

/**
 * Checks the lines of response heads as they are received, for what an HTTP decoder repairs and
 * thereby hides: of a line without a colon it returns the first word as a field without a value.
 *
 * <p>Invariant: keeps no more than the start of one line. Not thread-safe.
 */
public final class ResponseHeadLines {
    private static final String VERSION_START = "HTTP/1.";

    /** Names are far shorter, and a status line without its reason phrase as well. */
    private static final int MAX_KEPT_CHARS = 256;

    private final StringBuilder mLine = new StringBuilder();
    private boolean mInFields;
    private boolean mInterim;
    private boolean mComplete;

    /** Expects the head of the next response. */
    public void restart() {
        mLine.setLength(0);
        mInFields = false;
        mComplete = false;
    }

    /**
     * Returns whether the head of a final response was received to its end, so that bytes of a body
     * follow.
     *
     * @return true until the next head is expected
     */
    public boolean isComplete() {
        return mComplete;
    }

    /**
     * Reads one byte of a head.
     *
     * @param octet the byte
     * @return the defect of the line that the byte ends; empty if there is none
     */
    public Optional<HeadDefect> feed(byte octet) {
        if (octet != '\n') {
            if (mLine.length() < MAX_KEPT_CHARS) {
                mLine.append((char) (octet & 0xff));
            }
            return Optional.empty();
        }
        int length = mLine.length();
        if (length > 0 && mLine.charAt(length - 1) == '\r') {
            mLine.setLength(length - 1);
        }
        String line = mLine.toString();
        mLine.setLength(0);
        return mInFields ? onFieldLine(line) : onStatusLine(line);
    }

    /** Empty lines may precede a head. */
    private Optional<HeadDefect> onStatusLine(String line) {
        if (line.isEmpty()) {
            return Optional.empty();
        }
        if (!isStatusLine(line)) {
            return Optional.of(HeadDefect.STATUS);
        }
        mInFields = true;
        mInterim = line.charAt(VERSION_START.length() + 2) == '1';
        return Optional.empty();
    }

    private static boolean isStatusLine(String line) {
        int status = VERSION_START.length() + 2;
        int end = status + 3;
        return line.length() >= end
                && line.startsWith(VERSION_START)
                && line.charAt(status - 1) == ' '
                && line.substring(status, end).chars().allMatch(c -> c >= '0' && c <= '9')
                && (line.length() == end || line.charAt(end) == ' ');
    }

    private Optional<HeadDefect> onFieldLine(String line) {
        if (line.isEmpty()) {
            mInFields = false;
            mComplete = !mInterim;
            return Optional.empty();
        }
        boolean continues = line.charAt(0) == ' ' || line.charAt(0) == '\t';
        int colon = line.indexOf(':');
        return continues || colon > 0 && Tokens.isToken(line.substring(0, colon).stripTrailing())
                ? Optional.empty()
                : Optional.of(HeadDefect.FIELD_NAME);
    }
}
