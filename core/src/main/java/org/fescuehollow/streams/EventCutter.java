package org.fescuehollow.streams;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts bytes at empty lines, whatever packets they come in.
 *
 * <p>Invariant: the blocks returned and the pending bytes are all bytes that were fed, in order.
 * Not thread-safe.
 */
public final class EventCutter {
    private byte[] mBytes = {};
    private int mLength;

    /** Creates a cutter without pending bytes. */
    public EventCutter() {}

    /**
     * Adds bytes.
     *
     * @param data the bytes, in the order received
     * @return the blocks that they complete, each with the empty line at its end
     */
    public List<byte[]> feed(byte[] data) {
        int scanned = mLength;
        append(data);
        List<byte[]> blocks = new ArrayList<>();
        int start = 0;
        for (int i = scanned; i < mLength; i++) {
            if (mBytes[i] == '\n' && endsEmptyLine(mBytes, start, i)) {
                blocks.add(Arrays.copyOfRange(mBytes, start, i + 1));
                start = i + 1;
            }
        }
        if (start > 0) {
            mBytes = Arrays.copyOfRange(mBytes, start, mLength);
            mLength -= start;
        }
        return blocks;
    }

    /** Doubles the space when it is full, so that single bytes cost no copy of all others each. */
    private void append(byte[] data) {
        int length = mLength + data.length;
        if (length > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(length, 2 * mLength));
        }
        System.arraycopy(data, 0, mBytes, mLength, data.length);
        mLength = length;
    }

    private static boolean endsEmptyLine(byte[] bytes, int start, int end) {
        int before = end > start && bytes[end - 1] == '\r' ? end - 2 : end - 1;
        return before < start || bytes[before] == '\n';
    }

    /** Discards the pending bytes. */
    public void clear() {
        mBytes = new byte[0];
        mLength = 0;
    }

    /**
     * Returns how many bytes wait for the end of their block.
     *
     * @return the number of bytes
     */
    public int pendingBytes() {
        return mLength;
    }
}
