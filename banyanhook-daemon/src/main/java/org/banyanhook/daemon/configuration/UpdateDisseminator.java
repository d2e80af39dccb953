package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.SpreadTree;
import org.banyanhook.daemon.duty.Duty;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Passes news on to other entry VMs along the tree of each failure domain. Runs on the thread of one duty.
 *
 * <p>When an entry VM does not take the news in time, its children in the tree get it directly.
 */
final class UpdateDisseminator {

    private static final Logger LOGGER = LogManager.getLogger(UpdateDisseminator.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);
    private static final int ENTRANCES_PER_FAILURE_DOMAIN = 2;

    private final PeerMessenger messenger;
    private final Duty duty;
    private final Supplier<FleetView> fleet;
    private final String self;
    private final String failureDomain;

    UpdateDisseminator(
            PeerMessenger messenger, Duty duty, Supplier<FleetView> fleet, String self, String failureDomain) {
        this.messenger = messenger;
        this.duty = duty;
        this.fleet = fleet;
        this.self = self;
        this.failureDomain = failureDomain;
    }

    /**
     * Passes news on.
     *
     * @param news a number that stands for the news
     * @param message the message that carries it
     * @param origin true if the news came from the platform or an operator, false if it came from a peer
     */
    void spread(long news, PeerEnvelope message, boolean origin) {
        FleetView view = fleet.get();
        SpreadTree ownTree = SpreadTree.of(view.ownDomain(), news);
        Set<String> targets = new LinkedHashSet<>(ownTree.children(self));
        if (origin) {
            targets.addAll(ownTree.first(1));
            targets.addAll(entrances(view, news));
        }
        targets.remove(self);
        targets.forEach(target -> send(target, news, message));
    }

    private Set<String> entrances(FleetView view, long news) {
        Set<String> entrances = new LinkedHashSet<>();
        view.failureDomains().stream()
                .filter(domain -> !domain.equals(failureDomain))
                .map(domain -> SpreadTree.of(view.namesIn(domain), news))
                .forEach(tree -> entrances.addAll(tree.first(ENTRANCES_PER_FAILURE_DOMAIN)));
        return entrances;
    }

    private void send(String target, long news, PeerEnvelope message) {
        String address = fleet.get().addressOf(target).orElse("");
        if (address.isEmpty()) {
            return;
        }
        messenger.request(address, message, ANSWER_TIMEOUT).whenComplete((reply, problem) -> {
            if (problem != null) {
                duty.submit(() -> sendToChildren(target, news, message));
            }
        });
    }

    private void sendToChildren(String target, long news, PeerEnvelope message) {
        FleetView view = fleet.get();
        String domain = view.failureDomainOf(target).orElse(failureDomain);
        List<String> children = SpreadTree.of(view.namesIn(domain), news).children(target);
        LOGGER.debug("{} did not take news {}; passing it on to its children {}", target, news, children);
        children.stream().filter(child -> !child.equals(self)).forEach(child -> send(child, news, message));
    }
}
