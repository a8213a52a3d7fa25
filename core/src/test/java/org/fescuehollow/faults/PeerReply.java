package org.fescuehollow.faults;

import java.util.Optional;
import org.fescuehollow.placement.Quote;

/** What a coordinator or ticket holder sends back: an answer, or a decline. */
record PeerReply(Optional<CallResult> result, Optional<Quote> quote) {
    static PeerReply ofResult(CallResult answer) {
        return new PeerReply(Optional.of(answer), Optional.empty());
    }

    static PeerReply declined(Quote quote) {
        return new PeerReply(Optional.empty(), Optional.of(quote));
    }
}
