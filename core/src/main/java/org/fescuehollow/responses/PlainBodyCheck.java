package org.fescuehollow.responses;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.fescuehollow.streams.BodyFraming;

/**
 * Decides whether a plain body, as the HTTP decoder returns it, is that of one response. A body
 * that ends with its connection includes all further bytes on it, such as a second response; any
 * other body that was cut off is filled up with them. A body with a length or chunks may quote a
 * status line, but not the field with which servers repeat the id of a request.
 *
 * <p>Invariant: a defect stays the first one found. Not thread-safe.
 */
public final class PlainBodyCheck {
    private final boolean mEndsWithConnection;
    private final String mIdField;
    private String mTail = "";
    private boolean mHasStatusLine;
    private Optional<BodyDefect> mDefect;

    /**
     * Creates a check for one body.
     *
     * @param framing how the end of the body is marked
     * @param reusesConnection whether there were earlier responses on its connection
     * @param idField the name of the field with the id of the request
     */
    public PlainBodyCheck(BodyFraming framing, boolean reusesConnection, String idField) {
        mIdField = idField.toLowerCase(Locale.ROOT);
        mEndsWithConnection = framing == BodyFraming.CONNECTION_END;
        mDefect =
                mEndsWithConnection && reusesConnection
                        ? Optional.of(BodyDefect.UNMARKED_END)
                        : Optional.empty();
    }

    /**
     * Checks the next bytes of the body.
     *
     * @param data the bytes
     */
    public void feed(byte[] data) {
        if (mDefect.isPresent()) {
            return;
        }
        String text = mTail + new String(data, StandardCharsets.ISO_8859_1);
        mHasStatusLine = mHasStatusLine || StatusLinePattern.isWithinBody(text);
        record(mHasStatusLine && (mEndsWithConnection || namesRequest(text)));
        int kept = Math.max(StatusLinePattern.MAX_PART, mIdField.length());
        mTail = text.substring(Math.max(0, text.length() - kept));
    }

    private boolean namesRequest(String text) {
        return text.toLowerCase(Locale.ROOT).contains(mIdField);
    }

    /** Checks the end of the body, where a status line may be cut off. */
    public void end() {
        if (mEndsWithConnection && mDefect.isEmpty()) {
            record(StatusLinePattern.isCutAtEndOfBody(mTail));
        }
    }

    private void record(boolean found) {
        if (found) {
            mDefect = Optional.of(BodyDefect.SECOND_STATUS_LINE);
        }
    }

    /**
     * Returns the defect of the bytes checked so far.
     *
     * @return the defect; empty if there is none
     */
    public Optional<BodyDefect> defect() {
        return mDefect;
    }
}
