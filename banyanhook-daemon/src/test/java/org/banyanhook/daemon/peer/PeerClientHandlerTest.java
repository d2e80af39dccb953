package org.banyanhook.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.junit.jupiter.api.Test;

final class PeerClientHandlerTest {

    private static final long CORRELATION_ID = 7;

    /** The request would stay unanswered, and its sender would count the peer as unresponsive. */
    @Test
    void messageThatIsNoReplyLeavesTheRequestOutstanding() {
        PeerClientHandler handler = new PeerClientHandler();
        EmbeddedChannel channel = new EmbeddedChannel(handler);
        PendingRequest request = new PendingRequest("peer", envelope().build());
        handler.write(request);
        channel.writeInbound(envelope().build());
        assertThat(request.reply().isDone()).isFalse();
        channel.writeInbound(envelope().setReply(true).build());
        assertThat(request.reply().isDone()).isTrue();
    }

    private static PeerEnvelope.Builder envelope() {
        return PeerEnvelope.newBuilder().setCorrelationId(CORRELATION_ID);
    }
}
