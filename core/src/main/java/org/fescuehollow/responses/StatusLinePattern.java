package org.fescuehollow.responses;

/**
 * Finds the status line of a second response within a body or the parts of a head: in the reason
 * phrase, or in a line that was read as a field. One byte of it may be wrong.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class StatusLinePattern {
    /** A 0 stands for any digit. */
    private static final String VERSION = "HTTP/0.0";

    private static final String LINE = VERSION + " 000";

    /** The longest part of a status line, in characters, that is not found in itself. */
    static final int MAX_PART = LINE.length() - 1;

    /** Fewer characters of a status line may be text. */
    private static final int MIN_CUT_LENGTH = VERSION.indexOf('/') + 1;

    private StatusLinePattern() {}

    /**
     * Returns whether a reason phrase contains a version and a status. The HTTP decoder drops the
     * space before the phrase, which may be a wrong byte of the second status line.
     */
    static boolean isWithinReason(String reason) {
        return contains(' ' + reason, LINE);
    }

    /** Returns whether a field was made of a status line. */
    static boolean isWithinField(String name, String value) {
        return contains(name + ':' + value, LINE);
    }

    /** Returns whether a part of a body contains a version and a status. */
    static boolean isWithinBody(String text) {
        return contains(text, LINE);
    }

    /** Returns whether a body ends with the start of a status line, from {@code HTTP/} on. */
    static boolean isCutAtEndOfBody(String tail) {
        int last = Math.min(MAX_PART, tail.length());
        for (int length = MIN_CUT_LENGTH; length <= last; length++) {
            String start = LINE.substring(0, length);
            if (mismatches(tail, tail.length() - length, start) == 0) {
                return true;
            }
        }
        return false;
    }

    private static boolean contains(String text, String pattern) {
        for (int start = 0; start + pattern.length() <= text.length(); start++) {
            if (mismatches(text, start, pattern) <= 1) {
                return true;
            }
        }
        return false;
    }

    private static int mismatches(String text, int start, String pattern) {
        int count = 0;
        for (int i = 0; i < pattern.length() && count <= 1; i++) {
            char c = text.charAt(start + i);
            boolean matches = pattern.charAt(i) == '0' ? isDigit(c) : c == pattern.charAt(i);
            count += matches ? 0 : 1;
        }
        return count;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }
}
