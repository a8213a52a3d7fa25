package org.fescuehollow.responses;

import java.util.Locale;

/** Why a plain body is not known to be that of one response alone. */
public enum BodyDefect {
    /**
     * The body ends with its connection, on which there were earlier responses: late bytes of them
     * would count as body.
     */
    UNMARKED_END,
    /** The body ends with its connection and contains the status line of a second response. */
    SECOND_STATUS_LINE;

    /**
     * Returns the defect in words, for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
