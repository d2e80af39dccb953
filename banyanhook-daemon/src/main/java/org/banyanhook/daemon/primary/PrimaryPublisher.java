package org.banyanhook.daemon.primary;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryAnnouncement;

/**
 * Announces new primaries and the start of planned switchovers to peers, and writes new primaries to the platform.
 *
 * <p>Both are hints only: nothing waits for them, and a failed write to the platform is only logged. Thread-safe.
 */
final class PrimaryPublisher implements PrimaryChangeListener {

    private static final Logger LOGGER = LogManager.getLogger(PrimaryPublisher.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_PREFIX = "primary/";

    private static final int MAXIMUM_PEERS_FOR_FULL_ANNOUNCEMENT = 32;

    private final PlatformClient platform;
    private final PeerMessenger messenger;
    private final Supplier<MonitoringPlan> monitoringPlan;
    private final Function<String, List<EntryVm>> homeEntryVms;

    PrimaryPublisher(
            PlatformClient platform,
            PeerMessenger messenger,
            Supplier<MonitoringPlan> monitoringPlan,
            Function<String, List<EntryVm>> homeEntryVms) {
        this.platform = platform;
        this.messenger = messenger;
        this.monitoringPlan = monitoringPlan;
        this.homeEntryVms = homeEntryVms;
    }

    @Override
    public void onPromoted(String database, KnownPrimary primary) {
        announce(database, primary);
        writePrimaryRecord(database, primary);
    }

    @Override
    public void onHold(String database, long term) {
        announce(database, new KnownPrimary(term, ""));
    }

    private void announce(String database, KnownPrimary primary) {
        PeerEnvelope envelope = PeerEnvelope.newBuilder()
                .setPrimaryAnnouncement(PrimaryAnnouncement.newBuilder()
                        .setDatabase(database)
                        .setTerm(primary.term())
                        .setPrimaryMember(primary.member()))
                .build();
        recipients(database).forEach(address -> messenger.send(address, envelope));
    }

    private Set<String> recipients(String database) {
        MonitoringPlan current = monitoringPlan.get();
        Set<String> addresses = new LinkedHashSet<>();
        if (current.peers().size() <= MAXIMUM_PEERS_FOR_FULL_ANNOUNCEMENT) {
            current.peers().forEach(peer -> addresses.add(peer.peerAddress()));
            return addresses;
        }
        current.candidatePeers(database).forEach(peer -> addresses.add(peer.peerAddress()));
        homeEntryVms.apply(database).forEach(home -> addresses.add(home.peerAddress()));
        return addresses;
    }

    private void writePrimaryRecord(String database, KnownPrimary primary) {
        String key = KEY_PREFIX + database;
        platform.read(key)
                .thenCompose(stored -> replaceIfNewer(key, stored, primary))
                .whenComplete((revision, failure) -> {
                    if (failure != null) {
                        LOGGER.info(
                                "database {}: could not write the primary of term {} to the platform: {}",
                                database,
                                primary.term(),
                                failure.getMessage());
                    }
                });
    }

    private CompletableFuture<Long> replaceIfNewer(String key, Optional<StoredValue> stored, KnownPrimary primary) {
        long storedTerm = stored.map(PrimaryPublisher::parseTerm).orElse(-1L);
        long revision = stored.map(StoredValue::revision).orElse(0L);
        if (storedTerm >= primary.term()) {
            return CompletableFuture.completedFuture(revision);
        }
        String value = MAPPER.createObjectNode()
                .put("term", primary.term())
                .put("primaryMember", primary.member())
                .toString();
        return platform.compareAndSwap(key, value, revision);
    }

    private static long parseTerm(StoredValue stored) {
        try {
            JsonNode node = MAPPER.readTree(stored.value());
            return node.path("term").asLong(-1);
        } catch (JsonProcessingException exception) {
            LOGGER.warn("the value of {} at the platform is not valid JSON; replacing it", stored.key());
            return -1;
        }
    }
}
