package org.fescuehollow.responses;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fescuehollow.streams.BodyFraming;

/**
 * Decides whether a plain body, as the HTTP decoder returns it, is that of one response. A body
 * that ends with its connection includes all further bytes on it, such as a second response.
 *
 * <p>Invariant: a defect stays the first one found. Not thread-safe.
 */
public final class PlainBodyCheck {
    private final boolean mEndsWithConnection;
    private String mTail = "";
    private Optional<BodyDefect> mDefect;

    /**
     * Creates a check for one body.
     *
     * @param framing how the end of the body is marked
     * @param reusesConnection whether there were earlier responses on its connection
     */
    public PlainBodyCheck(BodyFraming framing, boolean reusesConnection) {
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
        if (mEndsWithConnection && mDefect.isEmpty()) {
            String text = mTail + new String(data, StandardCharsets.ISO_8859_1);
            record(StatusLinePattern.isWithinBody(text));
            mTail = text.substring(Math.max(0, text.length() - StatusLinePattern.MAX_PART));
        }
    }

    /** Checks the end of the body, where a status line may be cut off. */
    public void end() {
        if (mDefect.isEmpty()) {
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
