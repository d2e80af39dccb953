package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.message.SessionError;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class DatabaseGroupsTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final List<String> refusals = new ArrayList<>();

    @AfterEach
    void close() {
        gateway.close();
    }

    /** A refused caller sends its next request at once; its route may name a group that nobody has used yet. */
    @Test
    void groupMayBeCreatedDuringThePeriodicCheck() {
        submit(GatewayFixture.GROUP, () -> gateway.groups().group("another"));
        gateway.groups().tick();
        assertThat(refusals).containsExactly(GatewayFixture.GROUP);
        assertThat(gateway.groups().all()).hasSize(2);
    }

    /** Requests that waited in the other groups were not refused when their time had passed. */
    @Test
    void groupThatCannotBeCheckedDoesNotKeepOthersFromBeingChecked() {
        for (int number = 0; number < 8; number++) {
            String group = "group-" + number;
            boolean fails = number % 2 == 0;
            submit(group, () -> {
                if (fails) {
                    throw new IllegalStateException("expected by the test");
                }
            });
        }
        gateway.groups().tick();
        assertThat(refusals).hasSize(8);
        assertThat(gateway.logged()).contains("\"group\":\"group-0\"");
    }

    /** Submits a request whose time has passed by the next check. */
    private void submit(String group, Runnable onRefusal) {
        long now = gateway.nowNanos();
        ConnectionRequest request = new ConnectionRequest(
                "account",
                1,
                new ConnectionRequest.Requirements(true, 0, null, Set.of()),
                now,
                now + TimeUnit.MILLISECONDS.toNanos(50),
                new ConnectionRequestListener() {
                    @Override
                    public void onConnectionLeased(ConnectionLease lease, Placement placement) {
                        throw new AssertionError("no connection is open");
                    }

                    @Override
                    public void onRefused(SessionError error, String detail) {
                        refusals.add(group);
                        onRefusal.run();
                    }
                });
        gateway.groups().group(group).submit(request);
        gateway.advanceMillis(100);
    }
}
