package org.banyanhook.gateway.reader;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.store.StoreChangeLog;
import org.banyanhook.core.store.StoreReaders;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.StoreChange;
import org.banyanhook.protocol.generated.StoreChanges;
import org.banyanhook.protocol.generated.StoreChangesRequest;

/** Converts between changes of the store and the messages of readers. */
final class ChangeMessages {

    /** The size of a change without its key and its value. */
    private static final int BASE_BYTES = 32;

    private ChangeMessages() {}

    static StoreChangeLog.Change<StoreRecord> toChange(StoreRecord record) {
        byte[] value = record.value();
        int bytes = BASE_BYTES + record.key().length() + (value == null ? 0 : value.length);
        return new StoreChangeLog.Change<>(record.revision(), bytes, record);
    }

    static PeerEnvelope request(StoreRevision after) {
        return PeerEnvelope.newBuilder()
                .setStoreChangesRequest(StoreChangesRequest.newBuilder()
                        .setStoreEra(after.era())
                        .setKnownRevision(after.number())
                        .setMaximumWaitMillis(StoreReaders.MAXIMUM_HOLD.toMillis()))
                .build();
    }

    static PeerEnvelope answer(StoreChangeLog.Changes<StoreRecord> found) {
        StoreChanges.Builder message = StoreChanges.newBuilder()
                .setStoreEra(found.revision().era())
                .setRevision(found.revision().number());
        if (found.coverage() == StoreChangeLog.Coverage.COMPLETE) {
            found.changes().forEach(record -> message.addChanges(toMessage(record)));
        } else {
            message.setUnavailable(true);
        }
        return PeerEnvelope.newBuilder().setStoreChanges(message).build();
    }

    private static StoreChange toMessage(StoreRecord record) {
        StoreChange.Builder message = StoreChange.newBuilder()
                .setKey(record.key())
                .setRevision(record.revision().number())
                .setLease(record.lease().id());
        byte[] value = record.value();
        if (value == null) {
            message.setRemoved(true);
        } else {
            message.setValue(ByteString.copyFrom(value));
        }
        return message.build();
    }

    /**
     * Reads the answer to a request.
     *
     * @param message the answer
     * @param after the revision of the request
     * @return the changes, or empty if the reader is unavailable or the answer does not follow the revision
     */
    static Optional<StorePage> toPage(StoreChanges message, StoreRevision after) {
        if (message.getUnavailable()
                || message.getStoreEra() != after.era()
                || message.getRevision() < after.number()
                || message.getChangesList().stream()
                        .anyMatch(change -> change.getRevision() <= after.number()
                                || change.getRevision() > message.getRevision())) {
            return Optional.empty();
        }
        List<StoreRecord> records = message.getChangesList().stream()
                .map(change -> new StoreRecord(
                        change.getKey(),
                        new StoreRevision(after.era(), change.getRevision()),
                        change.getRemoved() ? null : change.getValue().toByteArray(),
                        change.getLease() == 0 ? StoreLease.NONE : new StoreLease(after.era(), change.getLease())))
                .toList();
        return Optional.of(new StorePage(records, new StoreRevision(after.era(), message.getRevision()), false));
    }
}
