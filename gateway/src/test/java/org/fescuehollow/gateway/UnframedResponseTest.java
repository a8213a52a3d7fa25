package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import java.io.IOException;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.gateway.testsupport.UnframedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses that end with their connection, as they have neither a length nor chunks. */
class UnframedResponseTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private final TestCluster mCluster = new TestCluster();
    private UnframedServer mPlain;
    private UnframedServer mEngine;

    @BeforeEach
    void start() {
        mPlain = mCluster.addUnframedServer("i-1", "plain");
        mEngine = mCluster.addUnframedServer("i-2", "llm");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    @Test
    void response_isDeliveredWhole() {
        mPlain.setBody("answer");
        then(mCluster.call(0, "/pay/", "id-1", "x").body()).isEqualTo("answer");
    }

    @Test
    void stream_isDeliveredWhole() {
        mEngine.setBody(EVENT);
        then(mCluster.callBaseModel("/talk/", "id-1").body()).isEqualTo(EVENT);
        then(mCluster.callBaseModel("/chat/", "id-2").body()).isEqualTo(EVENT);
    }

    @Test
    void stream_thatEndsWithinAnEventIsBrokenOff() {
        mEngine.setBody(EVENT + "id: 2\ndata: b");
        thenThrownBy(() -> mCluster.callBaseModel("/talk/", "id-1"))
                .hasCauseInstanceOf(IOException.class);
    }

    @Test
    void stream_thatEndsWithinAnEventIsNotCompleteAfterItsRetry() {
        mEngine.setBody(EVENT + "id: 2\ndata: b");
        thenThrownBy(() -> mCluster.callBaseModel("/chat/", "id-1"))
                .hasCauseInstanceOf(IOException.class);
    }

    @Test
    void stream_thatEndsWithinItsFirstEventIsLost() {
        mEngine.setBody("id: 1\ndata");
        then(mCluster.callBaseModel("/talk/", "id-1").statusCode()).isEqualTo(502);
    }
}
