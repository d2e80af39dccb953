package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.DisseminationTree;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Disseminates updates to other entry VMs along the dissemination tree of each failure domain. Runs on the thread of
 * one task loop.
 *
 * <p>If an entry VM does not acknowledge an update in time, the update is sent directly to its children in the tree.
 */
final class UpdateDisseminator {

    private static final Logger LOGGER = LogManager.getLogger(UpdateDisseminator.class);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
    private static final int ENTRY_POINTS_PER_FAILURE_DOMAIN = 2;

    private final PeerMessenger messenger;
    private final TaskLoop taskLoop;
    private final Supplier<FleetView> fleet;
    private final String self;
    private final String failureDomain;

    UpdateDisseminator(
            PeerMessenger messenger, TaskLoop taskLoop, Supplier<FleetView> fleet, String self, String failureDomain) {
        this.messenger = messenger;
        this.taskLoop = taskLoop;
        this.fleet = fleet;
        this.self = self;
        this.failureDomain = failureDomain;
    }

    /**
     * Sends an update to the children of this entry VM in the dissemination tree, and as its origin also to the root of
     * the tree and to entry points in the other failure domains.
     *
     * @param updateId a number that identifies the update
     * @param message the message that carries it
     * @param isOrigin true if the update came from the platform or an operator, false if it came from a peer
     */
    void disseminate(long updateId, PeerEnvelope message, boolean isOrigin) {
        FleetView view = fleet.get();
        DisseminationTree ownTree = DisseminationTree.of(view.namesInOwnDomain(), updateId);
        Set<String> targets = new LinkedHashSet<>(ownTree.children(self));
        if (isOrigin) {
            targets.addAll(ownTree.first(1));
            targets.addAll(entryPoints(view, updateId));
        }
        targets.remove(self);
        targets.forEach(target -> send(target, updateId, message));
    }

    private Set<String> entryPoints(FleetView view, long updateId) {
        Set<String> entryPoints = new LinkedHashSet<>();
        view.failureDomains().stream()
                .filter(domain -> !domain.equals(failureDomain))
                .map(domain -> DisseminationTree.of(view.namesIn(domain), updateId))
                .forEach(tree -> entryPoints.addAll(tree.first(ENTRY_POINTS_PER_FAILURE_DOMAIN)));
        return entryPoints;
    }

    private void send(String target, long updateId, PeerEnvelope message) {
        String address = fleet.get().addressOf(target).orElse("");
        if (address.isEmpty()) {
            return;
        }
        messenger.request(address, message, RESPONSE_TIMEOUT).whenComplete((reply, problem) -> {
            if (problem != null) {
                taskLoop.submit(() -> sendToChildren(target, updateId, message));
            }
        });
    }

    private void sendToChildren(String target, long updateId, PeerEnvelope message) {
        FleetView view = fleet.get();
        String domain = view.failureDomainOf(target).orElse(failureDomain);
        List<String> children =
                DisseminationTree.of(view.namesIn(domain), updateId).children(target);
        LOGGER.debug("{} did not acknowledge update {}; sending it to its children {}", target, updateId, children);
        children.stream().filter(child -> !child.equals(self)).forEach(child -> send(child, updateId, message));
    }
}
