package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import org.junit.jupiter.api.Test;

class OriginInquiryTest {
    private final OriginInquiry mInquiry = new OriginInquiry(List.of("a", "b", "c"));

    @Test
    void onReply_isDecidedByTheFirstPeerThatKnows() {
        then(mInquiry.onReply("a", OriginReply.UNKNOWN)).isFalse();
        then(mInquiry.onReply("b", OriginReply.known("v1"))).isTrue();
        then(mInquiry.onReply("c", OriginReply.known("v2"))).isFalse();
        then(mInquiry.isDecided()).isTrue();
        then(mInquiry.version()).contains("v1");
    }

    @Test
    void onReply_isDecidedOnceNoPeerKnows() {
        then(mInquiry.onReply("a", OriginReply.UNKNOWN)).isFalse();
        then(mInquiry.onReply("b", OriginReply.UNKNOWN)).isFalse();
        then(mInquiry.silentPeers()).containsExactly("c");
        then(mInquiry.onReply("c", OriginReply.UNKNOWN)).isTrue();
        then(mInquiry.version()).isEmpty();
    }

    @Test
    void onReply_ofSeveralVersionsLeavesTheVersionUnknown() {
        then(mInquiry.onReply("a", OriginReply.CONFLICTING)).isTrue();
        then(mInquiry.onReply("b", OriginReply.known("v1"))).isFalse();
        then(mInquiry.version()).isEmpty();
    }

    @Test
    void onReply_countsOnceForEachPeerThatWasAsked() {
        then(mInquiry.onReply("a", OriginReply.UNKNOWN)).isFalse();
        then(mInquiry.onReply("a", OriginReply.known("v1"))).isFalse();
        then(mInquiry.onReply("d", OriginReply.known("v1"))).isFalse();
        then(mInquiry.isDecided()).isFalse();
        then(mInquiry.silentPeers()).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    void inquiry_withoutPeersIsDecided() {
        then(new OriginInquiry(List.of()).isDecided()).isTrue();
    }
}
