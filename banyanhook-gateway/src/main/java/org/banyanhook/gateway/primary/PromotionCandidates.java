package org.banyanhook.gateway.primary;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.operation.MonotonicClock;

/** Finds the members of a group that can be promoted. Used on the event loop only. */
final class PromotionCandidates {

    private static final Comparator<Candidate> LONGEST_LOG =
            Comparator.comparing(Candidate::position).thenComparing(Candidate::member);

    private final FleetDirectory directory;
    private final MemberProbe probe;
    private final MonotonicClock clock;

    /**
     * A member that answers and accepts requests.
     *
     * @param member the name of the member
     * @param position the end of its log
     */
    record Candidate(String member, LogPosition position) {}

    PromotionCandidates(FleetDirectory directory, MemberProbe probe, MonotonicClock clock) {
        this.directory = directory;
        this.probe = probe;
        this.clock = clock;
    }

    /**
     * Asks the members for their status.
     *
     * @param group the database group
     * @param rejected members that are not asked, since the platform refused to promote them
     * @return the members that answered; never fails
     */
    CompletableFuture<List<Candidate>> find(DatabaseGroup group, Set<String> rejected) {
        List<CompletableFuture<Optional<Candidate>>> reports = new ArrayList<>();
        for (MemberServer server : List.copyOf(group.servers())) {
            boolean eligible = server.acceptsRequests()
                    && !directory.isEvacuated(server.entry().failureDomain())
                    && !rejected.contains(server.name())
                    && group.primary().filter(primary -> primary == server).isEmpty();
            if (eligible) {
                reports.add(ask(group, server));
            }
        }
        return CompletableFuture.allOf(reports.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> reports.stream()
                        .map(CompletableFuture::join)
                        .flatMap(Optional::stream)
                        .toList());
    }

    private CompletableFuture<Optional<Candidate>> ask(DatabaseGroup group, MemberServer server) {
        long sentNanos = clock.nowNanos();
        return probe.send(server, new MemberCommand.Status())
                .thenApply(report -> report.map(found -> {
                    group.onReport(server, found, sentNanos);
                    return new Candidate(server.name(), found.position());
                }));
    }

    /** Returns the candidate that has the most commits, or empty if there is none. */
    static Optional<Candidate> longestLog(List<Candidate> candidates) {
        return candidates.stream().max(LONGEST_LOG);
    }
}
