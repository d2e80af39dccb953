package org.banyanhook.gateway.backend;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Reaches members through their homes: daemons near a member that keep connections to it for the whole fleet. Used on
 * the event loop only.
 */
public interface HomeConnector {

    /** Knows no homes; each daemon opens its own connections. */
    HomeConnector NONE = new HomeConnector() {
        @Override
        public OptionalInt ownShare(MemberServer server) {
            return OptionalInt.empty();
        }

        @Override
        public boolean isReachable(MemberServer server, String account) {
            return false;
        }

        @Override
        public Optional<MemberTransport> connect(
                MemberServer server, ConnectionRequest request, boolean primary, MemberTransport.Receiver receiver) {
            return Optional.empty();
        }
    };

    /**
     * Returns how many connections this daemon keeps to a member; 0 if it is not one of its homes, and empty if the
     * member has no homes.
     */
    OptionalInt ownShare(MemberServer server);

    /** Returns whether another daemon is to run the work of a client account at a member, and can be reached. */
    boolean isReachable(MemberServer server, String account);

    /**
     * Prepares the use of a connection that a home keeps. Nothing is sent before the first commands.
     *
     * @param server the member
     * @param request the request that the connection is for
     * @param primary whether the work relies on the member being the primary
     * @param receiver receives the answers
     * @return the transport, or empty if no home can be reached
     */
    Optional<MemberTransport> connect(
            MemberServer server, ConnectionRequest request, boolean primary, MemberTransport.Receiver receiver);
}
