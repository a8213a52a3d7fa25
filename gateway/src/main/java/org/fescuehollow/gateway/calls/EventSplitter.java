package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream into whole events and remembers the last one's id, so that the stream can go on
 * elsewhere with nothing lost, repeated or joined.
 *
 * <p>Used on the node's loop.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    /** Many times an event of some tokens; more without an end is no event. */
    private static final int LONGEST_EVENT_BYTES = 256 * 1024;

    private Buffer mRest = Buffer.buffer();
    private String mLastId = "";

    /** Takes bytes and returns the whole events that they complete. */
    Buffer feed(Buffer data) {
        mRest.appendBuffer(data);
        int end = lastBoundary();
        if (end == 0) {
            return Buffer.buffer();
        }
        Buffer events = mRest.getBuffer(0, end);
        mRest = mRest.getBuffer(end, mRest.length());
        rememberId(events);
        return events;
    }

    private int lastBoundary() {
        for (int i = mRest.length() - 1; i > 0; i--) {
            if (mRest.getByte(i) == '\n' && isBlankLineBefore(i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private boolean isBlankLineBefore(int i) {
        byte before = mRest.getByte(i - 1);
        return before == '\n' || before == '\r' && i > 1 && mRest.getByte(i - 2) == '\n';
    }

    private void rememberId(Buffer events) {
        for (String line : events.toString().split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }

    /** Forgets the bytes of an event that was cut off. */
    void dropPartialEvent() {
        mRest = Buffer.buffer();
    }

    boolean hasPartialEvent() {
        return mRest.length() > 0;
    }

    /** Tells whether bytes come that make no event. */
    boolean isPartialEventTooLong() {
        return mRest.length() > LONGEST_EVENT_BYTES;
    }

    /** Returns the id of the last whole event; empty if there was none. */
    String lastId() {
        return mLastId;
    }
}
