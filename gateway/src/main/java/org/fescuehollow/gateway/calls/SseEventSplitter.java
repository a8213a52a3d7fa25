package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream into whole events and remembers the last one's id, so that the stream can go on
 * elsewhere with nothing lost, repeated or joined.
 *
 * <p>Used on the node's loop.
 */
final class SseEventSplitter {
    private static final String ID_FIELD = "id:";

    /** Many times an event of some tokens; more without an end is no event. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private Buffer mPending = Buffer.buffer();
    private String mLastEventId = "";

    /** Takes bytes and returns the whole events that they complete. */
    Buffer feed(Buffer data) {
        mPending.appendBuffer(data);
        int end = lastEventEnd();
        if (end == 0) {
            return Buffer.buffer();
        }
        Buffer events = mPending.getBuffer(0, end);
        mPending = mPending.getBuffer(end, mPending.length());
        recordLastEventId(events);
        return events;
    }

    private int lastEventEnd() {
        for (int i = mPending.length() - 1; i > 0; i--) {
            if (mPending.getByte(i) == '\n' && endsBlankLine(i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private boolean endsBlankLine(int i) {
        byte before = mPending.getByte(i - 1);
        return before == '\n' || before == '\r' && i > 1 && mPending.getByte(i - 2) == '\n';
    }

    private void recordLastEventId(Buffer events) {
        for (String line : events.toString().split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                mLastEventId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }

    /** Forgets the bytes of an event that was cut off. */
    void dropPartialEvent() {
        mPending = Buffer.buffer();
    }

    boolean hasPartialEvent() {
        return mPending.length() > 0;
    }

    /** Tells whether bytes come that make no event. */
    boolean isPartialEventTooLong() {
        return mPending.length() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last whole event; empty if there was none. */
    String lastEventId() {
        return mLastEventId;
    }
}
