package org.fescuehollow.responses;

import java.util.Locale;

/** Why a head is not the head of one final response to the request that was sent. */
public enum HeadDefect {
    /** The status is not between 200 and 599. */
    STATUS,
    /** The reason phrase has a control character. */
    REASON_PHRASE,
    /** The head contains a second status line, also if one of its bytes is wrong. */
    SECOND_STATUS_LINE,
    /** A field name is no token. */
    FIELD_NAME,
    /** A field value has a control character. */
    FIELD_VALUE,
    /** A field that a response has once occurs twice. */
    REPEATED_FIELD,
    /** The transfer coding is not chunked alone. */
    TRANSFER_CODING,
    /** A field that proves whose response it is counts as one of this connection only. */
    CONNECTION_OPTION,
    /** Bytes came though no request was open on the connection. */
    UNREQUESTED,
    /** The response names another request. */
    OTHER_REQUEST,
    /** The response names no request. */
    NO_REQUEST;

    /**
     * Returns the defect in words, for logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
