package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.banyanhook.core.primary.CommitHolders.ListedMember;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class CommitHoldersTest {

    private static final long DEPARTED_NANOS = 1_000;
    private static final LogPosition POSITION = new LogPosition(3, 70);
    private static final ListedMember PRIMARY = new ListedMember("a", 1, "a:1", false);
    private static final ListedMember REPLICA = new ListedMember("b", 1, "b:1", false);
    private static final ListedMember OTHER = new ListedMember("c", 1, "c:1", false);

    private final CommitHolders holders = new CommitHolders();

    @BeforeEach
    void listMembers() {
        holders.update(List.of(PRIMARY, REPLICA, OTHER), 0);
    }

    @Test
    void listedMembersAreHolders() {
        assertThat(holders.possibleHolders()).containsExactly("a", "b", "c");
        assertThat(holders.hasDepartures()).isFalse();
    }

    @Test
    void departedMemberIsMissedUntilItIsListedAgain() {
        holders.update(List.of(PRIMARY, OTHER), DEPARTED_NANOS);
        assertThat(holders.possibleHolders()).containsExactly("a", "c", "b started at 1");
        holders.update(List.of(PRIMARY, REPLICA, OTHER), DEPARTED_NANOS + 1);
        assertThat(holders.possibleHolders()).containsExactly("a", "b", "c");
    }

    @Test
    void memberThatStartedAgainIsMissedAsItWas() {
        holders.update(List.of(PRIMARY, new ListedMember("b", 2, "b:1", false), OTHER), DEPARTED_NANOS);
        assertThat(holders.possibleHolders()).containsExactly("a", "b", "c", "b started at 1");
    }

    @Test
    void departedMemberIsNotMissedOnceAReplicaHasCaughtUpWithThePrimary() {
        holders.update(List.of(PRIMARY, OTHER), DEPARTED_NANOS);
        holders.recordDeparted("b started at 1", false, DEPARTED_NANOS);
        holders.recordReport("c", false, POSITION, DEPARTED_NANOS, 1);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordReport("a", true, POSITION, DEPARTED_NANOS - 1, 1);
        holders.recordReport("c", false, POSITION, DEPARTED_NANOS, 1);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordReport("a", true, POSITION, DEPARTED_NANOS, 1);
        holders.recordReport("c", false, new LogPosition(3, 69), DEPARTED_NANOS, 1);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordReport("c", false, POSITION, DEPARTED_NANOS, 1);
        assertThat(holders.hasDepartures()).isFalse();
    }

    /** Review case 13: guards against a replica that is not listed, but still makes commits acknowledged. */
    @Test
    void departedMemberIsMissedAsLongAsItAnswers() {
        holders.update(List.of(PRIMARY, OTHER), DEPARTED_NANOS);
        reportPositions(DEPARTED_NANOS);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordDeparted("b started at 1", true, DEPARTED_NANOS + 1);
        reportPositions(DEPARTED_NANOS + 1);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordDeparted("b started at 1", false, DEPARTED_NANOS + 2);
        reportPositions(DEPARTED_NANOS + 1);
        assertThat(holders.hasDepartures()).isTrue();
        reportPositions(DEPARTED_NANOS + 2);
        assertThat(holders.hasDepartures()).isFalse();
    }

    private void reportPositions(long sentNanos) {
        holders.recordReport("a", true, POSITION, sentNanos, 1);
        holders.recordReport("c", false, POSITION, sentNanos, 1);
    }

    @Test
    void asManyReplicasHaveToCatchUpAsReceiveACommit() {
        holders.update(List.of(PRIMARY, OTHER), DEPARTED_NANOS);
        holders.recordDeparted("b started at 1", false, DEPARTED_NANOS);
        holders.recordReport("a", true, POSITION, DEPARTED_NANOS, 2);
        holders.recordReport("c", false, POSITION, DEPARTED_NANOS, 2);
        holders.recordReport("c", false, POSITION, DEPARTED_NANOS, 2);
        assertThat(holders.hasDepartures()).isTrue();
        holders.recordReport("d", false, POSITION, DEPARTED_NANOS, 2);
        assertThat(holders.hasDepartures()).isFalse();
    }

    @Test
    void memberAtTheAddressOfOneThatLeftHasItsLog() {
        ListedMember leaving = new ListedMember("b", 1, "b:1", true);
        ListedMember successor = new ListedMember("d", 2, "b:1", false);
        holders.update(List.of(PRIMARY, leaving, OTHER), 0);
        holders.update(List.of(PRIMARY, OTHER), DEPARTED_NANOS);
        assertThat(holders.hasDepartures()).isTrue();
        holders.update(List.of(PRIMARY, OTHER, successor), DEPARTED_NANOS + 1);
        assertThat(holders.hasDepartures()).isFalse();
    }

    @Test
    void memberAtTheAddressOfOneThatCrashedDoesNotHaveItsLog() {
        holders.update(List.of(PRIMARY, OTHER, new ListedMember("d", 2, "b:1", false)), DEPARTED_NANOS);
        assertThat(holders.hasDepartures()).isTrue();
    }
}
