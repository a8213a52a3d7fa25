package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a stream of server-sent events into complete events and keeps the id of the last one, so
 * that the stream can be resumed at another engine without lost, repeated or merged events, and
 * that one which ends within an event is known to be broken off.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class SseEventSplitter {
    private static final String ID_FIELD = "id:";

    /**
     * Far above the size of an event with a few tokens; more bytes without an end of event are an
     * error.
     */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private Buffer mPending = Buffer.buffer();
    private String mLastEventId = "";
    private int mEventsWithoutId;

    /** Adds bytes and returns the events that they complete. */
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
        boolean hasId = false;
        for (String line : events.toString().split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                mLastEventId = line.substring(ID_FIELD.length()).trim();
                hasId = !mLastEventId.isEmpty();
            } else if (line.isEmpty()) {
                mEventsWithoutId += hasId ? 0 : 1;
                hasId = false;
            }
        }
        // The text after the last empty line is empty itself.
        mEventsWithoutId--;
    }

    /** Returns how many events without an id were passed on. */
    int eventsWithoutId() {
        return mEventsWithoutId;
    }

    /** Discards the bytes of an incomplete event. */
    void dropPartialEvent() {
        mPending = Buffer.buffer();
    }

    boolean hasPartialEvent() {
        return mPending.length() > 0;
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    boolean isPartialEventTooLong() {
        return mPending.length() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last complete event, or an empty string if there was none. */
    String lastEventId() {
        return mLastEventId;
    }
}
