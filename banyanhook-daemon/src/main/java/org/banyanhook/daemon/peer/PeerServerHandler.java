package org.banyanhook.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches the requests of one incoming connection to the message handlers and writes the replies.
 *
 * <p>Reading is paused while the maximum number of requests is being handled or the write buffer is full because the
 * peer does not read its replies.
 */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

    private static final Logger LOGGER = LogManager.getLogger(PeerServerHandler.class);

    private final Map<PeerEnvelope.BodyCase, PeerMessageHandler> handlers;
    private final UnaryOperator<PeerEnvelope> withSender;
    private final int maximumConcurrentRequests;
    private int concurrentRequests;

    PeerServerHandler(
            Map<PeerEnvelope.BodyCase, PeerMessageHandler> handlers,
            UnaryOperator<PeerEnvelope> withSender,
            int maximumConcurrentRequests) {
        this.handlers = handlers;
        this.withSender = withSender;
        this.maximumConcurrentRequests = maximumConcurrentRequests;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, PeerEnvelope message) {
        concurrentRequests++;
        updateReading(channelContext);
        dispatch(message)
                .whenComplete((reply, failure) ->
                        channelContext.executor().execute(() -> finish(channelContext, message, reply, failure)));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext channelContext) {
        updateReading(channelContext);
        channelContext.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        LOGGER.warn(
                "closing the peer connection from {}: {}",
                channelContext.channel().remoteAddress(),
                cause.toString());
        channelContext.close();
    }

    private CompletableFuture<PeerEnvelope> dispatch(PeerEnvelope message) {
        PeerMessageHandler handler = handlers.get(message.getBodyCase());
        if (handler == null) {
            return CompletableFuture.failedFuture(RefusalException.notRun(
                    RefusalKind.MALFORMED_REQUEST, "no handler for peer message " + message.getBodyCase()));
        }
        try {
            return handler.handle(message);
        } catch (RuntimeException exception) {
            LOGGER.error("the handler of peer message {} failed", message.getBodyCase(), exception);
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void finish(
            ChannelHandlerContext channelContext,
            PeerEnvelope request,
            @Nullable PeerEnvelope reply,
            @Nullable Throwable failure) {
        concurrentRequests--;
        if (request.getCorrelationId() != 0) {
            channelContext.writeAndFlush(withSender.apply(replyTo(request, reply, failure)));
        }
        updateReading(channelContext);
    }

    private static PeerEnvelope replyTo(
            PeerEnvelope request, @Nullable PeerEnvelope reply, @Nullable Throwable failure) {
        PeerEnvelope.Builder builder = reply == null ? PeerEnvelope.newBuilder() : reply.toBuilder();
        if (failure != null) {
            builder.setFailure(PeerFailureCodec.toMessage(failure));
        }
        return builder.setReply(true)
                .setCorrelationId(request.getCorrelationId())
                .build();
    }

    private void updateReading(ChannelHandlerContext channelContext) {
        boolean mayRead = concurrentRequests < maximumConcurrentRequests
                && channelContext.channel().isWritable();
        channelContext.channel().config().setAutoRead(mayRead);
    }
}
