package org.banyanhook.daemon.primary;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.primary.PlannedSwitchover;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryAnnouncement;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.banyanhook.protocol.generated.PrimaryEvidenceRequest;

/** Handles messages from peers about primaries. Thread-safe. */
final class PrimaryMessageHandlers {

    private static final CompletableFuture<PeerEnvelope> NO_REPLY =
            CompletableFuture.completedFuture(PeerEnvelope.getDefaultInstance());

    private final ControllerContext context;
    private final EvidenceExchange evidenceExchange;
    private final GroupLookup groups;

    PrimaryMessageHandlers(ControllerContext context, EvidenceExchange evidenceExchange, GroupLookup groups) {
        this.context = context;
        this.evidenceExchange = evidenceExchange;
        this.groups = groups;
    }

    /** Provides access to the database groups of the controller. */
    interface GroupLookup {
        /** Returns the snapshot of a group, if any, and starts to monitor the group. May be called on any thread. */
        Optional<GroupSnapshot> snapshot(String database);

        /** Returns a group, creating it if its database is configured. Called on the controller's thread only. */
        Optional<MonitoredGroup> findOrCreate(String database);

        /** Returns a group if it is already monitored. Called on the controller's thread only. */
        Optional<MonitoredGroup> findExisting(String database);
    }

    void register(PeerMessenger messenger) {
        messenger.registerHandler(
                PeerEnvelope.BodyCase.PRIMARY_EVIDENCE_REQUEST,
                message -> onEvidenceRequest(message.getPrimaryEvidenceRequest()));
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_EVIDENCE, message -> {
            context.loopExecutor().execute(() -> onEvidence(message));
            return NO_REPLY;
        });
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_ANNOUNCEMENT, message -> {
            context.loopExecutor().execute(() -> onAnnouncement(message.getPrimaryAnnouncement()));
            return NO_REPLY;
        });
    }

    private CompletableFuture<PeerEnvelope> onEvidenceRequest(PrimaryEvidenceRequest request) {
        String database = request.getDatabase();
        Optional<BackendServer> primary = groups.snapshot(database).flatMap(PrimaryMessageHandlers::primaryOf);
        if (primary.isPresent()) {
            return evidenceExchange.probe(database, request.getTerm(), primary.get());
        }
        return CompletableFuture.failedFuture(RefusalException.notRun(
                RefusalKind.PRIMARY_UNAVAILABLE,
                "this entry VM has not determined the primary of database " + database + " yet"));
    }

    private static Optional<BackendServer> primaryOf(GroupSnapshot snapshot) {
        return snapshot.view()
                .primary()
                .flatMap(known -> snapshot.view().database().member(known.member()));
    }

    private void onEvidence(PeerEnvelope message) {
        PrimaryEvidence evidence = message.getPrimaryEvidence();
        groups.findOrCreate(evidence.getDatabase())
                .ifPresent(group ->
                        group.onPeerEvidence(message.getSenderEntryVm(), message.getSenderFailureDomain(), evidence));
    }

    private void onAnnouncement(PrimaryAnnouncement announcement) {
        Optional<MonitoredGroup> group = groups.findExisting(announcement.getDatabase());
        if (group.isEmpty()) {
            return;
        }
        GroupMonitor monitor = group.get().monitor();
        if (announcement.getPrimaryMember().isEmpty()) {
            monitor.hold(announcement.getTerm(), PlannedSwitchover.HOLD_DURATION);
        } else {
            monitor.recordAnnouncement(new KnownPrimary(announcement.getTerm(), announcement.getPrimaryMember()));
        }
    }
}
