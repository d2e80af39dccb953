package org.banyanhook.gateway.session;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection after everything has been written to it. The output is closed first, and the rest when the caller
 * has closed its side, since a close with unread bytes resets the connection and discards what the caller has not
 * received yet. Confined to the event loop.
 */
final class GracefulClose {

    /** How long the connection stays open after its last byte was written, for the caller to close it first. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private boolean flushing;
    private boolean writtenMeanwhile;
    private boolean outputClosed;

    /** Returns whether a close has begun. */
    boolean isInProgress() {
        return flushing || outputClosed;
    }

    /** Returns whether nothing can be sent any more. */
    boolean isOutputClosed() {
        return outputClosed;
    }

    /** Records that something has been written, which is sent before the output is closed. */
    void recordWrite() {
        writtenMeanwhile = true;
    }

    /**
     * Closes a connection when what has been sent so far is written.
     *
     * @param channel the connection
     * @param busy returns whether a request has arrived that has to be answered first; the close is then given up
     */
    void start(Channel channel, BooleanSupplier busy) {
        flushing = true;
        writtenMeanwhile = false;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            flushing = false;
            if (busy.getAsBoolean() || !channel.isActive()) {
                return;
            }
            if (writtenMeanwhile) {
                start(channel, busy);
            } else {
                closeOutput(channel);
            }
        });
    }

    private void closeOutput(Channel channel) {
        outputClosed = true;
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            var unused = channel.eventLoop().schedule(() -> channel.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
