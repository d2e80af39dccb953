package org.banyanhook.testbed.faultproxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Random;

/** One connection through the proxy. All work runs on the event loop that its two channels share. */
final class ProxiedConnection {

    private final LinkFaults faults;
    private final AnswerCrossing crossing;
    private final Channel client;
    private final Channel server;
    private final Direction requests;
    private final Direction answers;
    private boolean awaitingAnswer;
    private volatile boolean silent;

    ProxiedConnection(LinkFaults faults, AnswerCrossing crossing, Random random, Channel client, Channel server) {
        this.faults = faults;
        this.crossing = crossing;
        this.client = client;
        this.server = server;
        this.requests = new Direction(true, client, server, faults, random);
        this.answers = new Direction(false, server, client, faults, random);
    }

    void start() {
        client.pipeline().addLast(new Relay(true));
        server.pipeline().addLast(new Relay(false));
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
    }

    LinkFaults faults() {
        return faults;
    }

    /** Loses all further bytes in both directions, and the news that an end closed. */
    void silence() {
        silent = true;
    }

    void close() {
        client.close();
        server.close();
    }

    private void received(boolean towardsServer, ByteBuf data) {
        if (silent) {
            data.release();
            return;
        }
        if (towardsServer) {
            awaitingAnswer = true;
            requests.pass(data, 0);
            return;
        }
        boolean beginsAnswer = awaitingAnswer;
        awaitingAnswer = false;
        answer(data, beginsAnswer);
    }

    private void answer(ByteBuf data, boolean beginsAnswer) {
        if (beginsAnswer && faults.takeTruncation()) {
            answers.pass(data.readSlice(Math.min(faults.truncatedLength(), data.readableBytes())), 0);
            answers.endAfterPending();
            return;
        }
        if (beginsAnswer && faults.takeCrossing()) {
            crossing.cross(this, data);
            return;
        }
        answers.pass(data, beginsAnswer && faults.takeLateness() ? faults.lateMillis() : 0);
    }

    /** Delivers an answer that another connection received. */
    void deliverCrossed(ByteBuf data) {
        client.eventLoop().execute(() -> answers.pass(data, 0));
    }

    private void closed(boolean clientClosed) {
        if (silent) {
            return;
        }
        (clientClosed ? requests : answers).endAfterPending();
    }

    private final class Relay extends ChannelInboundHandlerAdapter {
        private final boolean towardsServer;

        Relay(boolean towardsServer) {
            this.towardsServer = towardsServer;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            received(towardsServer, (ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed(towardsServer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
