package org.fescuehollow.server.backend;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.streams.EventCutter;
import org.fescuehollow.streams.EventFields;

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
    private final EventCutter mCutter = new EventCutter();
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
     * @throws FescuehollowException if an event is too large, of another model, or after the end,
     *     or if bytes are no event
     */
    public Buffer feed(Buffer data) {
        Buffer whole = Buffer.buffer();
        for (byte[] block : mCutter.feed(data.getBytes())) {
            check(block);
            whole.appendBytes(block);
        }
        if (mCutter.pendingBytes() > mLimitBytes) {
            throw new FescuehollowException(
                    shouldAnswerCompletely("an event exceeds " + mLimitBytes + " bytes"));
        }
        return whole;
    }

    private void check(byte[] block) {
        EventFields fields =
                EventFields.parse(block, "")
                        .filter(f -> f.isComment() || f.hasData())
                        .orElseThrow(
                                () ->
                                        new FescuehollowException(
                                                shouldAnswerCompletely("bytes are no event")));
        fields.data().forEach(this::checkData);
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
        return mDone && mCutter.pendingBytes() == 0;
    }
}
