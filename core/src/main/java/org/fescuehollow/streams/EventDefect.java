package org.fescuehollow.streams;

import java.util.Locale;

/** Why bytes in a stream of events are not the next event of its run. */
public enum EventDefect {
    /** A line is no field: a name of letters, digits and hyphens, a colon and text. */
    MALFORMED_LINE,
    /** The event has no id, more than one, or one that is no decimal number. */
    NO_ID,
    /** The event has no data. */
    NO_DATA,
    /** The id is not above that of the event before. */
    ID_NOT_INCREASING,
    /** An id was skipped, though the ids of the stream count up by one. */
    EVENT_MISSING,
    /** The event exceeds the maximum size. */
    TOO_LONG;

    /**
     * Returns the defect in words, for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
