package org.banyanhook.gateway.port;

import io.netty.channel.ChannelHandler;
import java.util.Optional;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberReport;

/** Translates between the messages of the gateway and the bytes of its connections. */
public interface SessionCodec {

    /** Returns a new codec of {@link org.banyanhook.gateway.message.ClientRequest} and {@code ClientAnswer}. */
    ChannelHandler newClientCodec();

    /** Returns a new codec of {@link org.banyanhook.gateway.message.MemberCommand} and {@code MemberAnswer}. */
    ChannelHandler newMemberCodec();

    /**
     * Reads the report in an answer to a status request.
     *
     * @param answer the answer
     * @return the report, or empty if there is none
     */
    Optional<MemberReport> report(MemberAnswer answer);
}
