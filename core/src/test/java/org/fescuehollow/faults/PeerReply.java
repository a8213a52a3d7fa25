package org.fescuehollow.faults;

import java.util.Optional;
import org.fescuehollow.placement.Quote;

/** The reply of a coordinator or of the holder of a ledger: a result, or a decline. */
record PeerReply(Optional<CallResult> result, Optional<Quote> quote) {
    static PeerReply ofResult(CallResult answer) {
        return new PeerReply(Optional.of(answer), Optional.empty());
    }

    static PeerReply declined(Quote quote) {
        return new PeerReply(Optional.empty(), Optional.of(quote));
    }
}
