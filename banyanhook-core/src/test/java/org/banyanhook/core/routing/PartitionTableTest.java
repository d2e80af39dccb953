package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a change of the hash, which would route partition keys to other databases. */
class PartitionTableTest {

    private static final Service SERVICE =
            new Service("inject-db", List.of(database("a"), database("b"), database("c")), List.of());

    private static Database database(String name) {
        return new Database(name, List.of(new BackendServer(name + "-1", "d", "127.0.0.1:1", false)), 16, 2);
    }

    /** The reference values are published murmur3_32 hashes: 0x248bfa47 for 'hello' and 0xb3dd93fa for 'abc'. */
    @ParameterizedTest
    @CsvSource({"hello, 613153351", "abc, 3017643002", "'', 0"})
    void selectsTheDatabaseByTheUnsignedHashModuloTheirNumber(String partitionKey, long hash) {
        Database expected = SERVICE.databases().get((int) (hash % 3));
        assertThat(PartitionTable.databaseFor(SERVICE, partitionKey)).isEqualTo(expected);
    }
}
