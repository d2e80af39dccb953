package org.banyanhook.gateway.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;

/** Sends a command to a member on a connection that is not in use otherwise. */
@FunctionalInterface
public interface MemberProbe {
    /** Exceeds the round trip between any two regions plus the time for a new connection and a short queue. */
    Duration DEFAULT_TIMEOUT = Duration.ofMillis(500);

    /**
     * Sends a command that is answered with a report.
     *
     * @param server the member
     * @param command the command
     * @param timeout how long to wait for the report
     * @return the report, or empty if none came in time; never fails
     */
    CompletableFuture<Optional<MemberReport>> send(MemberServer server, MemberCommand command, Duration timeout);

    /** Sends a command with the default timeout. */
    default CompletableFuture<Optional<MemberReport>> send(MemberServer server, MemberCommand command) {
        return send(server, command, DEFAULT_TIMEOUT);
    }
}
