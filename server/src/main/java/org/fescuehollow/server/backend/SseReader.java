package org.fescuehollow.server.backend;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.fescuehollow.error.FescuehollowException;

/**
 * Cuts a stream of bytes into whole server-sent events and checks whose answer they are.
 *
 * <p>Invariants: hands on whole events only, in order, unchanged; an event after the final one is
 * an error. Not safe for concurrent use.
 */
public final class SseReader {
    private static final String DONE = "[DONE]";

    private final String mModel;
    private final int mLimitBytes;
    private Buffer mRest = Buffer.buffer();
    private boolean mChecked;
    private boolean mDone;

    /**
     * Creates a reader.
     *
     * @param model the model that must stand in the first event; empty to check nothing
     * @param limitBytes the largest event allowed
     */
    public SseReader(String model, int limitBytes) {
        mModel = model;
        mLimitBytes = limitBytes;
        mChecked = model.isEmpty();
    }

    /**
     * Takes bytes and returns the events that they complete.
     *
     * @param data bytes as they came
     * @return whole events, empty if none is complete
     * @throws FescuehollowException if an event is too large, of another model, or after the end
     */
    public Buffer feed(Buffer data) {
        int searched = mRest.length();
        mRest.appendBuffer(data);
        int end = endOfEvents(mRest, searched);
        if (end == 0) {
            requireFit();
            return Buffer.buffer();
        }
        Buffer whole = mRest.getBuffer(0, end);
        mRest = mRest.getBuffer(end, mRest.length());
        requireFit();
        check(whole);
        return whole;
    }

    private void requireFit() {
        if (mRest.length() > mLimitBytes) {
            throw new FescuehollowException(
                    shouldAnswerCompletely("an event exceeds " + mLimitBytes + " bytes"));
        }
    }

    /** Returns the end of the last whole event; none ends before the given number of bytes. */
    private static int endOfEvents(Buffer data, int searched) {
        for (int i = data.length() - 1; i >= Math.max(1, searched); i--) {
            boolean newline = data.getByte(i) == '\n';
            if (newline && data.getByte(i - 1) == '\n') {
                return i + 1;
            }
            if (newline && i > 2 && data.getByte(i - 1) == '\r' && data.getByte(i - 2) == '\n') {
                return i + 1;
            }
        }
        return 0;
    }

    private void check(Buffer events) {
        for (String line : events.toString(StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith("data:")) {
                checkData(line.substring("data:".length()).trim());
            }
        }
    }

    private void checkData(String data) {
        if (mDone) {
            throw new FescuehollowException(shouldAnswerCompletely("events follow the final one"));
        }
        if (data.equals(DONE)) {
            mDone = true;
        } else if (!mChecked) {
            mChecked = true;
            ModelCheck.requireModel(mModel, data.getBytes(StandardCharsets.UTF_8));
        }
    }

    /**
     * Tells whether the final event has come and nothing is left over.
     *
     * @return true if the stream is whole
     */
    public boolean isWhole() {
        return mDone && mRest.length() == 0;
    }
}
