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
    private byte[] mPending = {};

    /** Creates a cutter without pending bytes. */
    public EventCutter() {}

    /**
     * Adds bytes.
     *
     * @param data the bytes, in the order received
     * @return the blocks that they complete, each with the empty line at its end
     */
    public List<byte[]> feed(byte[] data) {
        int scanned = mPending.length;
        byte[] bytes = Arrays.copyOf(mPending, scanned + data.length);
        System.arraycopy(data, 0, bytes, scanned, data.length);
        List<byte[]> blocks = new ArrayList<>();
        int start = 0;
        for (int i = scanned; i < bytes.length; i++) {
            if (bytes[i] == '\n' && endsEmptyLine(bytes, start, i)) {
                blocks.add(Arrays.copyOfRange(bytes, start, i + 1));
                start = i + 1;
            }
        }
        mPending = start == 0 ? bytes : Arrays.copyOfRange(bytes, start, bytes.length);
        return blocks;
    }

    private static boolean endsEmptyLine(byte[] bytes, int start, int end) {
        int before = end > start && bytes[end - 1] == '\r' ? end - 2 : end - 1;
        return before < start || bytes[before] == '\n';
    }

    /** Discards the pending bytes. */
    public void clear() {
        mPending = new byte[0];
    }

    /**
     * Returns how many bytes wait for the end of their block.
     *
     * @return the number of bytes
     */
    public int pendingBytes() {
        return mPending.length;
    }
}
