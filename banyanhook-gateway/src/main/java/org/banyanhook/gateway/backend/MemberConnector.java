package org.banyanhook.gateway.backend;

import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Establishes connections to members. */
@FunctionalInterface
public interface MemberConnector {
    /**
     * Connects to a member.
     *
     * @param address the address of the member
     * @param timeoutMillis the timeout for the establishment of the connection
     * @param handler receives the events of the connection and the decoded answers
     * @param onFailure receives the reason if the connection cannot be established
     */
    void connect(InetSocketAddress address, int timeoutMillis, ChannelHandler handler, Consumer<String> onFailure);
}
