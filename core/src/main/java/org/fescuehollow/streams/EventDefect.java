package org.fescuehollow.streams;

import java.util.Locale;

/** Why bytes in a stream of events are not the next event of its run. */
public enum EventDefect {
    /** A line is neither a comment nor a known field, is no text or ends unlike the others. */
    MALFORMED_LINE,
    /** The event has no id, more than one, or one that is no decimal number. */
    NO_ID,
    /** The event has no data. */
    NO_DATA,
    /** The id is not above that of the event before. */
    ID_NOT_INCREASING,
    /** An id was skipped, though the ids of the service count events. */
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
