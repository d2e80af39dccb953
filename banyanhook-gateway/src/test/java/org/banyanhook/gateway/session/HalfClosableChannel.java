package org.banyanhook.gateway.session;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;

/** An embedded channel whose output can be closed alone, as that of a socket; the caller does not close its side. */
final class HalfClosableChannel extends EmbeddedChannel implements DuplexChannel {

    private boolean outputShutdown;

    HalfClosableChannel(ChannelHandler handler) {
        super(handler);
    }

    @Override
    public boolean isInputShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException("only the output can be closed");
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShutdown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShutdown = true;
        return promise.setSuccess();
    }

    @Override
    public boolean isShutdown() {
        return !isActive();
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return close(promise);
    }
}
