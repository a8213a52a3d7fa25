package org.fescuehollow.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the prompt prefixes in an engine's KV cache from the prompts sent to it.
 *
 * <p>Invariant: the recorded tokens never exceed the engine's KV cache; the least recently used
 * prefixes are evicted first, as on the engine. Not safe for concurrent use.
 */
final class PrefixCacheEstimate {
    private final LinkedHashMap<Long, Integer> mTokensByPrefix =
            new LinkedHashMap<>(64, 0.75f, true);
    private long mTotalTokens;

    /** Returns how many leading tokens of the prompt are probably cached. */
    int cachedTokens(PromptPrefix prefix) {
        int cached = 0;
        for (int i = 0; i < prefix.segmentCount(); i++) {
            if (!mTokensByPrefix.containsKey(prefix.hash(i))) {
                return cached;
            }
            cached += prefix.tokens(i);
        }
        return cached;
    }

    /** Records a prompt sent to the engine. */
    void addPrompt(PromptPrefix prefix, long kvCacheTokens) {
        for (int i = 0; i < prefix.segmentCount(); i++) {
            if (mTokensByPrefix.put(prefix.hash(i), prefix.tokens(i)) == null) {
                mTotalTokens += prefix.tokens(i);
            }
        }
        while (mTotalTokens > kvCacheTokens && !mTokensByPrefix.isEmpty()) {
            Map.Entry<Long, Integer> leastRecent = mTokensByPrefix.entrySet().iterator().next();
            mTotalTokens -= leastRecent.getValue();
            mTokensByPrefix.remove(leastRecent.getKey());
        }
    }

    void clear() {
        mTokensByPrefix.clear();
        mTotalTokens = 0;
    }
}
