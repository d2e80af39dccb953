package org.banyanhook.gateway.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;

/** Sends a command to a member on a connection that is not in use otherwise. */
@FunctionalInterface
public interface MemberProbe {
    /**
     * Sends a command that is answered with a report.
     *
     * @param server the member
     * @param command the command
     * @return the report, or empty if none came in time; never fails
     */
    CompletableFuture<Optional<MemberReport>> send(MemberServer server, MemberCommand command);
}
