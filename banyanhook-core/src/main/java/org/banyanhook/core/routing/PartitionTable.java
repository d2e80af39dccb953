package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.Service;

/** Maps partition keys to the databases of a service. */
public final class PartitionTable {

    private PartitionTable() {}

    /**
     * Finds the database of a partition key.
     *
     * @param service the service, with at least one database
     * @param partitionKey the partition key that the caller sent, hashed as UTF-8
     * @return the database at index {@code murmur3_32(partitionKey) mod databases}, with the hash as an unsigned number
     */
    public static Database databaseFor(Service service, String partitionKey) {
        int count = service.databases().size();
        checkArgument(count > 0, "service %s must have at least one database", service.name());
        int hash = Hashing.murmur3_32_fixed()
                .hashString(partitionKey, StandardCharsets.UTF_8)
                .asInt();
        return service.databases().get(Integer.remainderUnsigned(hash, count));
    }
}
