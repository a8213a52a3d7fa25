package org.fescuehollow.server.peer;

import static org.assertj.core.api.Assertions.catchThrowable;
import static org.assertj.core.api.BDDAssertions.then;

import com.google.protobuf.InvalidProtocolBufferException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.fescuehollow.wire.PeerProto;

class PeerCodecFuzzTest {
    @Property(tries = 1_000, seed = "20261204")
    void frames_ofAnyBytesAreReadOrRefused(@ForAll @Size(max = 120) byte[] bytes) {
        thenReadOrRefused(
                () -> {
                    PeerProto.Frame frame = PeerProto.Frame.parseFrom(bytes);
                    PeerCodec.call(frame.getSubmit().getCall());
                    PeerCodec.firmness(frame.getSubmit());
                    PeerCodec.urgency(frame.getBorrowPermit());
                    PeerCodec.entries(frame.getSettingsPush());
                    PeerCodec.offer(frame.getSettingsOffer());
                    LedgerCodec.snapshot(frame.getHandOver());
                });
    }

    @Property(tries = 1_000, seed = "20261204")
    void datagrams_ofAnyBytesAreReadOrRefused(@ForAll @Size(max = 120) byte[] bytes) {
        thenReadOrRefused(
                () -> {
                    PeerProto.Gossip gossip = PeerProto.Gossip.parseFrom(bytes);
                    GossipCodec.message(gossip);
                    GossipCodec.findings(gossip.getFindingsList(), 0);
                });
    }

    private static void thenReadOrRefused(ThrowingCallable action) {
        Throwable thrown = catchThrowable(action);
        if (thrown != null) {
            then(thrown)
                    .isInstanceOfAny(
                            InvalidProtocolBufferException.class, IllegalArgumentException.class);
        }
    }
}
