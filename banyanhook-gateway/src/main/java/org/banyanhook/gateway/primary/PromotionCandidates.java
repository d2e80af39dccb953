package org.banyanhook.gateway.primary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.primary.SuccessorChoice.LogReport;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.operation.MonotonicClock;

/** Asks the members of a group for the ends of their logs. Used on the event loop only. */
final class PromotionCandidates {

    /** A member that is slow to answer is waited for where its log may be needed. */
    private static final Duration SLOW_MEMBER_TIMEOUT = Duration.ofSeconds(2);

    private final FleetDirectory directory;
    private final MemberProbe probe;
    private final MonotonicClock clock;

    PromotionCandidates(FleetDirectory directory, MemberProbe probe, MonotonicClock clock) {
        this.directory = directory;
        this.probe = probe;
        this.clock = clock;
    }

    /**
     * Asks the members other than the primary for their status. Without synchronous replicas, only those that are
     * eligible are asked.
     *
     * @param group the database group
     * @param rejected members that are not eligible, since the platform refused to promote them
     * @return the reports of the members that answered soon; never fails
     */
    CompletableFuture<List<LogReport>> find(DatabaseGroup group, Set<String> rejected) {
        return find(group, rejected, MemberProbe.DEFAULT_TIMEOUT);
    }

    /** Asks as {@link #find} does, but waits longer if there are synchronous replicas. */
    CompletableFuture<List<LogReport>> findIncludingSlow(DatabaseGroup group, Set<String> rejected) {
        Duration timeout = group.synchronousReplicas() == 0 ? MemberProbe.DEFAULT_TIMEOUT : SLOW_MEMBER_TIMEOUT;
        return find(group, rejected, timeout);
    }

    private CompletableFuture<List<LogReport>> find(DatabaseGroup group, Set<String> rejected, Duration timeout) {
        List<CompletableFuture<Optional<LogReport>>> reports = new ArrayList<>();
        for (MemberServer server : List.copyOf(group.servers())) {
            boolean isPrimary =
                    group.primary().filter(primary -> primary == server).isPresent();
            boolean eligible = server.acceptsRequests()
                    && !directory.isEvacuated(server.entry().failureDomain())
                    && !rejected.contains(server.name());
            if (!isPrimary && (eligible || group.synchronousReplicas() > 0)) {
                reports.add(ask(group, server, eligible, timeout));
            }
        }
        return CompletableFuture.allOf(reports.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> reports.stream()
                        .map(CompletableFuture::join)
                        .flatMap(Optional::stream)
                        .toList());
    }

    private CompletableFuture<Optional<LogReport>> ask(
            DatabaseGroup group, MemberServer server, boolean eligible, Duration timeout) {
        long sentNanos = clock.nowNanos();
        return probe.send(server, new MemberCommand.Status(), timeout)
                .thenApply(report -> report.map(found -> {
                    group.onReport(server, found, sentNanos);
                    return new LogReport(server.name(), found.position(), eligible, found.primary());
                }));
    }
}
