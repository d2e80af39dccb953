package org.banyanhook.daemon.primary;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.primary.BelievedPrimary;
import org.banyanhook.core.primary.PlannedMove;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryAnnouncement;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.banyanhook.protocol.generated.PrimaryEvidenceRequest;

/** Handles the messages of peers about primaries. Safe for use by several threads. */
final class PrimaryMessages {

    private static final CompletableFuture<PeerEnvelope> NO_REPLY =
            CompletableFuture.completedFuture(PeerEnvelope.getDefaultInstance());

    private final ControllerContext context;
    private final EvidenceExchange evidence;
    private final Groups groups;

    PrimaryMessages(ControllerContext context, EvidenceExchange evidence, Groups groups) {
        this.context = context;
        this.evidence = evidence;
        this.groups = groups;
    }

    /** Gives access to the groups of the controller. */
    interface Groups {
        /** Returns what request threads see of a group, and begins to look at it if it is new. Any thread. */
        Optional<GroupSnapshot> snapshot(String database);

        /** Returns a group, created if it is configured. On the controller's thread. */
        Optional<WatchedGroup> group(String database);

        /** Returns a group that is being looked at. On the controller's thread. */
        Optional<WatchedGroup> known(String database);
    }

    void register(PeerMessenger messenger) {
        messenger.registerHandler(
                PeerEnvelope.BodyCase.PRIMARY_EVIDENCE_REQUEST,
                message -> onEvidenceRequest(message.getPrimaryEvidenceRequest()));
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_EVIDENCE, message -> {
            context.duty().execute(() -> onEvidence(message));
            return NO_REPLY;
        });
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_ANNOUNCEMENT, message -> {
            context.duty().execute(() -> onAnnouncement(message.getPrimaryAnnouncement()));
            return NO_REPLY;
        });
    }

    private CompletableFuture<PeerEnvelope> onEvidenceRequest(PrimaryEvidenceRequest request) {
        String database = request.getDatabase();
        Optional<BackendServer> primary = groups.snapshot(database).flatMap(PrimaryMessages::primaryServer);
        if (primary.isPresent()) {
            return evidence.probe(database, request.getTerm(), primary.get());
        }
        return CompletableFuture.failedFuture(RefusalException.notRun(
                RefusalKind.PRIMARY_UNAVAILABLE, "this entry VM does not know the primary of " + database + " yet"));
    }

    private static Optional<BackendServer> primaryServer(GroupSnapshot snapshot) {
        return snapshot.view()
                .primary()
                .flatMap(known -> snapshot.view().database().member(known.member()));
    }

    private void onEvidence(PeerEnvelope message) {
        PrimaryEvidence notice = message.getPrimaryEvidence();
        groups.group(notice.getDatabase())
                .ifPresent(group ->
                        group.onPeerEvidence(message.getSenderEntryVm(), message.getSenderFailureDomain(), notice));
    }

    private void onAnnouncement(PrimaryAnnouncement announcement) {
        Optional<WatchedGroup> group = groups.known(announcement.getDatabase());
        if (group.isEmpty()) {
            return;
        }
        GroupMonitor monitor = group.get().monitor();
        if (announcement.getPrimaryMember().isEmpty()) {
            monitor.hold(announcement.getTerm(), PlannedMove.HOLD);
        } else {
            monitor.announce(new BelievedPrimary(announcement.getTerm(), announcement.getPrimaryMember()));
        }
    }
}
