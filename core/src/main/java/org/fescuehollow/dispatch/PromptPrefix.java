package org.fescuehollow.dispatch;

import java.util.List;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.hashing.Rendezvous;

/**
 * The prefixes of a prompt that end at a segment boundary, as hashes.
 *
 * <p>Equal prefixes of prompts for the same adapter have equal hashes; others differ except for a
 * negligible share. Immutable and safe for use by any thread.
 */
final class PromptPrefix {
    private final long[] mHashes;
    private final int[] mTokens;

    private PromptPrefix(long[] hashes, int[] tokens) {
        mHashes = hashes;
        mTokens = tokens;
    }

    static PromptPrefix of(AdapterKey adapter, List<PromptSegment> segments) {
        long[] hashes = new long[segments.size()];
        int[] tokens = new int[segments.size()];
        long hash = 0;
        if (!segments.isEmpty()) {
            hash =
                    Rendezvous.weight(
                            Rendezvous.hash(adapter.model()), Rendezvous.hash(adapter.adapter()));
        }
        for (int i = 0; i < hashes.length; i++) {
            hash = Rendezvous.weight(hash, Rendezvous.hash(segments.get(i).id()));
            hashes[i] = hash;
            tokens[i] = segments.get(i).tokens();
        }
        return new PromptPrefix(hashes, tokens);
    }

    /** Returns the number of segments. */
    int segmentCount() {
        return mHashes.length;
    }

    /** Returns the hash of the prefix that ends with a segment. */
    long hash(int segment) {
        return mHashes[segment];
    }

    /** Returns the length of a segment. */
    int tokens(int segment) {
        return mTokens[segment];
    }
}
