package org.fescuehollow.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehollow.catalog.AdapterKey;

/**
 * Estimates the prompt prefixes in an engine's KV cache from the prompts sent to it.
 *
 * <p>Invariant: the recorded tokens never exceed the engine's KV cache; the least recently used
 * prefixes are evicted first, as on the engine. Not safe for concurrent use.
 */
final class PrefixCacheEstimate {
    private final LinkedHashMap<String, Integer> mTokensByPrefix =
            new LinkedHashMap<>(64, 0.75f, true);
    private long mTotalTokens;

    /** Returns how many leading tokens of the prompt are probably cached. */
    int cachedTokens(AdapterKey adapter, List<PromptSegment> segments) {
        int cached = 0;
        String key = adapter.toString();
        for (PromptSegment segment : segments) {
            key = key + ' ' + segment.id();
            if (!mTokensByPrefix.containsKey(key)) {
                return cached;
            }
            cached += segment.tokens();
        }
        return cached;
    }

    /** Records a prompt sent to the engine. */
    void addPrompt(AdapterKey adapter, List<PromptSegment> segments, long kvCacheTokens) {
        String key = adapter.toString();
        for (PromptSegment segment : segments) {
            key = key + ' ' + segment.id();
            if (mTokensByPrefix.put(key, segment.tokens()) == null) {
                mTotalTokens += segment.tokens();
            }
        }
        while (mTotalTokens > kvCacheTokens && !mTokensByPrefix.isEmpty()) {
            Map.Entry<String, Integer> leastRecent = mTokensByPrefix.entrySet().iterator().next();
            mTotalTokens -= leastRecent.getValue();
            mTokensByPrefix.remove(leastRecent.getKey());
        }
    }

    void clear() {
        mTokensByPrefix.clear();
        mTotalTokens = 0;
    }
}
