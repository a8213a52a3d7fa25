package org.fescuehollow.suspects;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.fescuehollow.dispatch.PromptSegment;
import org.fescuehollow.hashing.Rendezvous;

/** The traits of requests by which {@link CrashTraits} compares them. Stateless. */
public final class RequestTraits {
    private static final long PROMPT_PART = Rendezvous.hash("prompt part");
    private static final long WHOLE_REQUEST = Rendezvous.hash("whole request");

    private RequestTraits() {}

    /**
     * Returns the traits of a request: the parts of its prompt, and the request itself, which may
     * come again. The last part of a prompt belongs to the request itself or its session, so that
     * it tells nothing about others.
     *
     * @param target the host and path to which the request is sent
     * @param prompt the parts of the prompt in order
     * @param body the body
     * @return a hash for each part except the last, and one for the whole request
     */
    public static Set<Long> of(String target, List<PromptSegment> prompt, byte[] body) {
        return Stream.concat(
                        prompt.stream().limit(Math.max(0, prompt.size() - 1)).map(p -> part(p)),
                        Stream.of(whole(target, prompt, body)))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long part(PromptSegment part) {
        return Rendezvous.weight(PROMPT_PART, Rendezvous.hash(part.id()));
    }

    private static long whole(String target, List<PromptSegment> prompt, byte[] body) {
        LongStream pieces =
                LongStream.concat(
                        prompt.stream().mapToLong(RequestTraits::part),
                        LongStream.of(Rendezvous.hash(target), Rendezvous.hash(body)));
        return pieces.reduce(WHOLE_REQUEST, Rendezvous::weight);
    }
}
