package org.fescuehollow.gateway.exchange;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/** Sends messages as datagrams. Not thread-safe; used on the node's event loop. */
final class MessageSender {
    private final NodeContext mContext;
    private final long mIncarnation;
    private DatagramSocket mSocket;

    MessageSender(NodeContext context, long incarnation) {
        mContext = context;
        mIncarnation = incarnation;
    }

    /** Sets the socket; called before the first message is sent. */
    void setSocket(DatagramSocket socket) {
        mSocket = socket;
    }

    /** Adds the sender to a message. */
    NodeNews.Builder withSender(NodeNews.Builder content) {
        NodeSettings settings = mContext.settings();
        return content.setNode(settings.node())
                .setDomain(settings.domain())
                .setIp(settings.ip())
                .setIncarnation(mIncarnation);
    }

    /** Sends a message that lacks its sender. */
    void sendContent(NodeNews.Builder content, String ip) {
        send(withSender(content).build().toByteArray(), ip);
    }

    void send(byte[] message, String ip) {
        mSocket.send(Buffer.buffer(message), mContext.settings().exchangePort(), ip)
                .onFailure(e -> mContext.metrics().countEvent("datagram_not_sent"));
    }
}
