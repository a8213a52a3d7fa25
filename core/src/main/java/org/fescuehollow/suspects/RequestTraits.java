package org.fescuehollow.suspects;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.dispatch.PromptSegment;
import org.fescuehollow.hashing.Rendezvous;

/** The traits of requests by which {@link CrashTraits} compares them. Stateless. */
public final class RequestTraits {
    private static final long PROMPT_PART = Rendezvous.hash("prompt part");

    private RequestTraits() {}

    /**
     * Returns the traits of a request's prompt. The last part belongs to the request itself or its
     * session, so it tells nothing about other requests.
     *
     * @param prompt the parts of the prompt in order
     * @return a hash for each part except the last
     */
    public static Set<Long> of(List<PromptSegment> prompt) {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(p -> Rendezvous.weight(PROMPT_PART, Rendezvous.hash(p.id())))
                .collect(Collectors.toUnmodifiableSet());
    }
}
