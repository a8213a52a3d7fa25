package org.fescuehollow.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehollow.catalog.AdapterKey;

/**
 * The prompt parts that an engine probably keeps, from what was sent to it.
 *
 * <p>Invariant: the tokens remembered never exceed the engine's memory; the least recently used go
 * first, as on the engine. Not safe for concurrent use.
 */
final class PrefixCacheEstimate {
    private final LinkedHashMap<String, Integer> mTokensByPrefix =
            new LinkedHashMap<>(64, 0.75f, true);
    private long mTotalTokens;

    /** Returns how many leading tokens of the prompt are probably kept. */
    int cachedTokens(AdapterKey adapter, List<PromptSegment> parts) {
        int kept = 0;
        String key = adapter.toString();
        for (PromptSegment p : parts) {
            key = key + ' ' + p.id();
            if (!mTokensByPrefix.containsKey(key)) {
                return kept;
            }
            kept += p.tokens();
        }
        return kept;
    }

    /** Remembers a prompt that the engine has read. */
    void addPrompt(AdapterKey adapter, List<PromptSegment> parts, long capacity) {
        String key = adapter.toString();
        for (PromptSegment p : parts) {
            key = key + ' ' + p.id();
            if (mTokensByPrefix.put(key, p.tokens()) == null) {
                mTotalTokens += p.tokens();
            }
        }
        while (mTotalTokens > capacity && !mTokensByPrefix.isEmpty()) {
            Map.Entry<String, Integer> eldest = mTokensByPrefix.entrySet().iterator().next();
            mTotalTokens -= eldest.getValue();
            mTokensByPrefix.remove(eldest.getKey());
        }
    }

    void clear() {
        mTokensByPrefix.clear();
        mTotalTokens = 0;
    }
}
