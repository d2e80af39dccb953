package org.banyanhook.gateway.port;

import java.util.List;
import org.banyanhook.core.store.StoreRevision;

/**
 * A page of records or changes, with the revision up to which they were read.
 *
 * @param records the records or changes
 * @param revision the revision of the store at the time of the answer
 * @param truncated whether more records follow the last key
 */
public record StorePage(List<StoreRecord> records, StoreRevision revision, boolean truncated) {
    public StorePage {
        records = List.copyOf(records);
    }
}
