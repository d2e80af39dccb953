package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.message.SessionError;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A dispatch that is requested while another one is in progress. */
final class WaitingRequestsTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final WaitingRequests waiting = new WaitingRequests(gateway.groupContext());
    private final List<String> attempts = new ArrayList<>();
    private boolean primaryFree;
    private boolean readsPlaceable = true;

    @BeforeEach
    void listMembers() {
        gateway.list("primary", true);
        gateway.list("replica", false);
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The freed connection was offered to the write only with the next periodic check. */
    @Test
    void connectionToThePrimaryFreedWhileReadsArePlacedIsOfferedToAWaitingWrite() {
        add("writer", true);
        add("reader", false);
        dispatch();
        assertThat(attempts).containsExactly("reader", "writer").inOrder();
    }

    /** Guards against an endless loop if attempts that fail request a dispatch. */
    @Test
    void attemptsThatFailAreNotRepeatedWithoutEnd() {
        readsPlaceable = false;
        add("reader", false);
        dispatch();
        assertThat(attempts.size()).isAtMost(10);
    }

    private void dispatch() {
        waiting.dispatch(
                this::place, members(), server -> primaryFree || !server.name().equals("primary"), gateway.nowNanos());
    }

    private boolean place(ConnectionRequest request) {
        attempts.add(request.account());
        if (request.requirements().primaryOnly()) {
            return true;
        }
        primaryFree = true;
        dispatch();
        return readsPlaceable;
    }

    private WaitingRequests.Members members() {
        return new WaitingRequests.Members(
                gateway.group().servers(), gateway.group().primary().orElseThrow(), true);
    }

    private void add(String account, boolean primaryOnly) {
        ConnectionRequest request = new ConnectionRequest(
                account,
                1,
                new ConnectionRequest.Requirements(primaryOnly, 0, null, Set.of()),
                gateway.nowNanos(),
                gateway.nowNanos() + 1_000_000,
                new ConnectionRequestListener() {
                    @Override
                    public void onConnectionLeased(ConnectionLease lease, Placement placement) {
                        throw new AssertionError("the test leases no connections");
                    }

                    @Override
                    public void onRefused(SessionError error, String detail) {
                        throw new AssertionError(detail);
                    }
                });
        waiting.add(request, members(), gateway.nowNanos());
    }
}
