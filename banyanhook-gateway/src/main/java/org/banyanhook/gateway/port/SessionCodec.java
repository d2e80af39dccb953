package org.banyanhook.gateway.port;

import io.netty.channel.ChannelHandler;
import java.util.Optional;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberReport;

/** Encodes and decodes the messages of client and member connections. */
public interface SessionCodec {

    /**
     * Returns a new codec for {@link org.banyanhook.gateway.message.ClientRequest} and {@code ClientAnswer}.
     *
     * @param input receives the sizes of what the codec holds, and suspends it
     */
    ChannelHandler newClientCodec(ClientInput input);

    /** Returns a new codec for {@link org.banyanhook.gateway.message.MemberCommand} and {@code MemberAnswer}. */
    ChannelHandler newMemberCodec();

    /**
     * Decodes the report in the answer to a status request.
     *
     * @param answer the answer
     * @return the report, or empty if the answer contains none
     */
    Optional<MemberReport> report(MemberAnswer answer);
}
