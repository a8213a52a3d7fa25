package org.fescuehollow.responses;

/**
 * Finds the status line of a second response within the parts of a head: in the reason phrase, or
 * in a line that was read as a field. One byte of it may be wrong.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class StatusLinePattern {
    /** A 0 stands for any digit. */
    private static final String LINE = "HTTP/0.0 000";

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
