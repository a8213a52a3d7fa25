package org.fescuehollow.streams;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Decides what is an event of a stream, and when the stream is whole, however its bytes are cut
 * into packets and whichever engines send its parts.
 *
 * <p>Invariants: what it passes on are whole events with data and increasing ids, unchanged and in
 * order; after a defect it passes on nothing until the stream is resumed; a stream is whole only if
 * it has an event and ends right after one. Comments and empty lines between events are dropped.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
public final class EventStreamReader {
    /** Far above the size of an event with a few tokens. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    private final EventCutter mCutter = new EventCutter();
    private final String mHeadField;
    private final EventIdSteps mSteps;
    private EventIds mIds;
    private String mLastEventId = "";
    private boolean mResumed;
    private boolean mHasEventOfAttempt;
    private Optional<EventDefect> mDefect = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param lastEventId the id after which the client wants the stream to be resumed; empty if it
     *     wants the whole stream
     * @param headField the name of a field with a number that the first line of an event may have
     * @param steps the evidence of the service, to which this stream adds
     */
    public EventStreamReader(String lastEventId, String headField, EventIdSteps steps) {
        mIds = EventIds.after(lastEventId);
        mResumed = EventIds.isNumber(lastEventId);
        mHeadField = headField;
        mSteps = steps;
    }

    /**
     * Adds bytes of the engine's response.
     *
     * @param data the bytes, in the order received
     * @return the bytes of the sound events that they complete; empty if there are none
     */
    public byte[] feed(byte[] data) {
        if (mDefect.isPresent()) {
            return new byte[0];
        }
        ByteArrayOutputStream events = new ByteArrayOutputStream();
        mCutter.feed(data).forEach(b -> accept(b, events));
        if (mDefect.isEmpty() && mCutter.pendingBytes() > MAX_EVENT_BYTES) {
            mDefect = Optional.of(EventDefect.TOO_LONG);
        }
        return events.toByteArray();
    }

    private void accept(byte[] block, ByteArrayOutputStream events) {
        if (mDefect.isPresent()) {
            return;
        }
        Optional<EventFields> fields = EventFields.parse(block, mHeadField);
        if (fields.map(EventFields::isComment).orElse(false)) {
            return;
        }
        mDefect = fields.map(this::defect).orElse(Optional.of(EventDefect.MALFORMED_LINE));
        if (mDefect.isEmpty()) {
            mLastEventId = fields.get().id();
            mIds = EventIds.after(mLastEventId);
            mHasEventOfAttempt = true;
            events.writeBytes(block);
        }
    }

    private Optional<EventDefect> defect(EventFields fields) {
        if (fields.ids() != 1 || !EventIds.isNumber(fields.id())) {
            return Optional.of(EventDefect.NO_ID);
        }
        return fields.hasData()
                ? mIds.check(Long.parseLong(fields.id()), mSteps)
                : Optional.of(EventDefect.NO_DATA);
    }

    /** Prepares for the response of the next engine, which resumes after the last sound event. */
    public void resume() {
        mCutter.clear();
        mDefect = Optional.empty();
        mHasEventOfAttempt = false;
        mResumed |= !mLastEventId.isEmpty();
    }

    /**
     * Returns why the stream can't go on with the bytes of this engine.
     *
     * @return the defect; empty if all bytes so far are sound
     */
    public Optional<EventDefect> defect() {
        return mDefect;
    }

    /**
     * Returns whether the stream is whole if the body of the response ends now. A resumed stream
     * may have no further event, but only a body with a length or chunks can say so.
     *
     * @param framing how the end of the body is marked
     * @return true if the stream may be ended as complete
     */
    public boolean isWhole(BodyFraming framing) {
        boolean hasEvents = mHasEventOfAttempt || mResumed && framing != BodyFraming.CONNECTION_END;
        return hasEvents && mCutter.pendingBytes() == 0 && mDefect.isEmpty();
    }

    /**
     * Returns the id of the last sound event.
     *
     * @return the id; empty if there was none
     */
    public String lastEventId() {
        return mLastEventId;
    }
}
