package org.banyanhook.gateway.primary;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.jspecify.annotations.Nullable;

/** Makes primaries step down before a planned replacement. Used on the event loop only. */
final class PrimaryStepDown {

    /** The second command follows if the primary leads a later term than was known. */
    private static final int MAXIMUM_COMMANDS = 2;

    private final MemberProbe probe;
    private final MonotonicClock clock;

    PrimaryStepDown(MemberProbe probe, MonotonicClock clock) {
        this.probe = probe;
        this.clock = clock;
    }

    /**
     * Makes a primary step down, unless it has done so already.
     *
     * @param group the database group
     * @param primary the primary
     * @param status its last status, or null if it did not answer
     * @return its status afterwards, which is that of a primary if it did not step down; empty if it did not answer
     */
    CompletableFuture<Optional<MemberReport>> perform(
            DatabaseGroup group, MemberServer primary, @Nullable MemberReport status) {
        return perform(group, primary, status, 1);
    }

    private CompletableFuture<Optional<MemberReport>> perform(
            DatabaseGroup group, MemberServer primary, @Nullable MemberReport status, int command) {
        if (status != null && !status.primary()) {
            return CompletableFuture.completedFuture(Optional.of(status));
        }
        long term = group.terms().termAbove(status == null ? 0 : status.term());
        return probe.send(primary, new MemberCommand.StepDown(term)).thenCompose(report -> {
            report.ifPresent(found -> group.terms().recordHeld(primary.name(), found.term(), clock.nowNanos()));
            boolean leadsStill = report.isPresent() && report.get().primary();
            return leadsStill && command < MAXIMUM_COMMANDS
                    ? perform(group, primary, report.get(), command + 1)
                    : CompletableFuture.completedFuture(report);
        });
    }
}
