package org.fescuehollow.server.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.wire.PeerProto;

/**
 * A TCP channel that carries frames.
 *
 * <p>Writing is safe from any thread; the handler is called on the node's loop.
 */
final class FrameChannel {
    static final int MAX_FRAME_BYTES = 80 << 20;
    private static final Logger LOG = System.getLogger(FrameChannel.class.getName());

    private final Channel mChannel;
    private final Queue<Runnable> mDrainActions = new ConcurrentLinkedQueue<>();

    FrameChannel(Channel channel) {
        mChannel = channel;
    }

    /** Sets up a channel's pipeline; the factory gives the handler of a new channel. */
    static ChannelInitializer<SocketChannel> initializer(
            NodeLoop loop, Function<FrameChannel, FrameHandler> factory) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.config().setTcpNoDelay(true);
                channel.pipeline()
                        .addLast(new FrameDecoder())
                        .addLast(new ProtobufDecoder(PeerProto.Frame.getDefaultInstance()))
                        .addLast(new ProtobufVarint32LengthFieldPrepender())
                        .addLast(new ProtobufEncoder())
                        .addLast(new LoopHandler(loop, factory));
            }
        };
    }

    void write(PeerProto.Frame frame) {
        mChannel.writeAndFlush(frame, mChannel.voidPromise());
    }

    void close() {
        mChannel.close();
    }

    boolean isFull() {
        return !mChannel.isWritable();
    }

    void onDrain(Runnable action) {
        mDrainActions.add(action);
        if (mChannel.isWritable()) {
            drained();
        }
    }

    private void drained() {
        for (Runnable a = mDrainActions.poll(); a != null; a = mDrainActions.poll()) {
            a.run();
        }
    }

    /** Cuts frames, none larger than allowed. Used on one event loop. */
    private static final class FrameDecoder extends ProtobufVarint32FrameDecoder {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            if (in.readableBytes() > MAX_FRAME_BYTES) {
                context.close();
                return;
            }
            super.decode(context, in, out);
        }
    }

    /** Hands frames over to the node's loop. Used on one event loop. */
    private static final class LoopHandler extends SimpleChannelInboundHandler<PeerProto.Frame> {
        private final NodeLoop mLoop;
        private final Function<FrameChannel, FrameHandler> mFactory;
        private FrameChannel mFrames;
        private FrameHandler mHandler;

        LoopHandler(NodeLoop loop, Function<FrameChannel, FrameHandler> factory) {
            mLoop = loop;
            mFactory = factory;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mFrames = new FrameChannel(context.channel());
            mHandler = mFactory.apply(mFrames);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
            mLoop.run(() -> take(context, frame));
        }

        /** A frame that can't be understood ends the link; its sender opens another. */
        private void take(ChannelHandlerContext context, PeerProto.Frame frame) {
            try {
                mHandler.frame(frame);
            } catch (IllegalArgumentException e) {
                LOG.log(Level.WARNING, "link closed, its frame can't be read: " + e.getMessage());
                context.close();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (context.channel().isWritable()) {
                mLoop.run(mFrames::drained);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mLoop.run(mHandler::closed);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
