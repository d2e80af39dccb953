package org.banyanhook.gateway.primary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.primary.SuccessorChoice.LogReport;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
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
     * eligible are asked; with them, also those that are not listed any more and may hold acknowledged commits.
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
        if (group.synchronousReplicas() > 0) {
            group.departedMembers().forEach((name, server) -> reports.add(askDeparted(group, name, server, timeout)));
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

    /** Asks the members that are not listed any more whether they still receive commits. */
    void checkDeparted(DatabaseGroup group) {
        group.departedMembers().forEach((name, server) -> {
            var unused = askDeparted(group, name, server, MemberProbe.DEFAULT_TIMEOUT);
        });
    }

    private CompletableFuture<Optional<LogReport>> askDeparted(
            DatabaseGroup group, String departedName, MemberServer server, Duration timeout) {
        LogPosition before = server.position();
        return probe.send(server, new MemberCommand.Status(), timeout).thenApply(report -> {
            // A member that has started again lacks what it had received before.
            Optional<LogPosition> position = report.map(MemberReport::position).filter(found -> found.covers(before));
            group.commitHolders().recordDeparted(departedName, position.isPresent(), clock.nowNanos());
            return position.map(found ->
                    new LogReport(departedName, found, false, report.get().primary(), false));
        });
    }
}
