package org.banyanhook.daemon.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Matches the replies of one outgoing connection to their requests. Confined to the connection's event loop.
 *
 * <p>A retired connection accepts no new requests and closes after its last outstanding request. An idle connection
 * closes as well.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

    private static final Logger LOGGER = LogManager.getLogger(PeerClientHandler.class);

    private final Map<Long, PendingRequest> outstandingRequests = new HashMap<>();
    private @Nullable Channel channel;
    private boolean retired;
    private long lastReadNanos = System.nanoTime();

    /** Returns whether the connection is active, is not retired and its write buffer is below the limit. */
    boolean acceptsRequests() {
        return channel != null && channel.isActive() && channel.isWritable() && !retired;
    }

    /** Returns whether a message was received after a time of {@link System#nanoTime()}. */
    boolean receivedSince(long nanos) {
        return lastReadNanos - nanos > 0;
    }

    void write(PendingRequest request) {
        Channel open = channel;
        if (open == null) {
            request.fail("the connection is not open");
            return;
        }
        if (request.expectsReply()) {
            outstandingRequests.put(request.correlationId(), request);
        }
        request.markWritten(this);
        open.writeAndFlush(request.envelope()).addListener(written -> {
            if (!written.isSuccess()) {
                removeOutstanding(request);
                request.fail("cannot write to the connection: " + written.cause());
            }
        });
    }

    void removeOutstanding(PendingRequest request) {
        outstandingRequests.remove(request.correlationId(), request);
        closeIfRetired();
    }

    void retire() {
        retired = true;
        closeIfRetired();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channelContext) {
        channel = channelContext.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, PeerEnvelope message) {
        lastReadNanos = System.nanoTime();
        PendingRequest request = message.getReply() ? outstandingRequests.remove(message.getCorrelationId()) : null;
        if (request == null) {
            LOGGER.debug(
                    "dropped a message from {} that is not the reply to an outstanding request",
                    message.getSenderEntryVm());
            return;
        }
        request.complete(message);
        closeIfRetired();
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        failAll("the connection was closed");
        channelContext.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channelContext, Object event) {
        if (event instanceof IdleStateEvent && outstandingRequests.isEmpty()) {
            channelContext.close();
        }
        channelContext.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        LOGGER.warn(
                "closing the peer connection to {}: {}",
                channelContext.channel().remoteAddress(),
                cause.toString());
        channelContext.close();
    }

    private void failAll(String reason) {
        List<PendingRequest> requests = List.copyOf(outstandingRequests.values());
        outstandingRequests.clear();
        requests.forEach(request -> request.fail(reason));
    }

    private void closeIfRetired() {
        if (retired && outstandingRequests.isEmpty() && channel != null) {
            channel.close();
        }
    }
}
