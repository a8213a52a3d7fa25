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
final class PrefixMemory {
    private final LinkedHashMap<String, Integer> mKept = new LinkedHashMap<>(64, 0.75f, true);
    private long mTokens;

    /** Returns how many leading tokens of the prompt are probably kept. */
    int kept(AdapterKey adapter, List<PromptPart> parts) {
        int kept = 0;
        String key = adapter.toString();
        for (PromptPart p : parts) {
            key = key + ' ' + p.id();
            if (!mKept.containsKey(key)) {
                return kept;
            }
            kept += p.tokens();
        }
        return kept;
    }

    /** Remembers a prompt that the engine has read. */
    void read(AdapterKey adapter, List<PromptPart> parts, long capacity) {
        String key = adapter.toString();
        for (PromptPart p : parts) {
            key = key + ' ' + p.id();
            if (mKept.put(key, p.tokens()) == null) {
                mTokens += p.tokens();
            }
        }
        while (mTokens > capacity && !mKept.isEmpty()) {
            Map.Entry<String, Integer> eldest = mKept.entrySet().iterator().next();
            mTokens -= eldest.getValue();
            mKept.remove(eldest.getKey());
        }
    }

    void clear() {
        mKept.clear();
        mTokens = 0;
    }
}
