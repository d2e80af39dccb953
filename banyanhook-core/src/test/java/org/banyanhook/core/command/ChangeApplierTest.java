package org.banyanhook.core.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against changes that are applied twice, overwrite a concurrent change, or do not fit the configuration. */
class ChangeApplierTest {

    private final FleetConfiguration original = TestConfigurations.small();

    @Test
    void changesOnlyWhatTheCommandNames() throws RefusalException {
        FleetConfiguration changed = original;
        for (String text : List.of(
                "set account plant rate=20 weight=3",
                "set route inject-db status maximum-age-millis=700",
                "grant account lab rate=2 burst=1",
                "grant key lab id=n1 hash=" + TestConfigurations.hash("n1"),
                "withdraw key plant k1",
                "take-out failure-domain a",
                "drain backend-server m2",
                "drain entry-vm e1")) {
            changed = apply(changed, text, text, changed.version());
        }

        assertThat(changed.version()).isEqualTo(9);
        assertThat(changed.accounts().get(0).ratePerSecond()).isEqualTo(20);
        assertThat(changed.accounts().get(0).burst()).isEqualTo(5);
        assertThat(changed.accounts().get(0).weight()).isEqualTo(3);
        assertThat(changed.accounts().get(1)).isEqualTo(original.accounts().get(1));
        assertThat(changed.account("lab").orElseThrow().keys().get(0).id()).isEqualTo("n1");
        assertThat(changed.services().get(0).routes().get(0).maximumAgeMillis()).isEqualTo(700);
        assertThat(changed.withdrawnKeyHashes()).containsExactly(TestConfigurations.hash("k1"));
        assertThat(changed.failureDomains().get(0).takenOut()).isTrue();
        assertThat(changed.database("db-1").orElseThrow().members().get(1).leaving())
                .isTrue();
        assertThat(changed.drainedEntryVms()).containsExactly("e1");
        changed = apply(changed, "r", "return entry-vm e1", 9);
        assertThat(changed.drainedEntryVms()).isEmpty();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "set account nobody rate=1, CONFIGURATION_INVALID",
        "set route nothing status maximum-age-millis=1, SERVICE_UNKNOWN",
        "set route inject-db nothing maximum-age-millis=1, ROUTE_UNKNOWN",
        "set route inject-db append maximum-age-millis=1, CONFIGURATION_INVALID",
        "grant account plant rate=1 burst=1, CONFIGURATION_INVALID",
        "withdraw key plant k9, CONFIGURATION_INVALID",
        "withdraw key plant k3, CONFIGURATION_INVALID",
        "take-out failure-domain c, CONFIGURATION_INVALID",
        "drain backend-server m9, CONFIGURATION_INVALID",
    })
    void refusesChangesThatDoNotFitTheConfiguration(String text, RefusalKind kind) {
        assertThat(refusal(original, "c", text, 1).kind()).isEqualTo(kind);
    }

    @Test
    void refusesToGrantDuplicateAndWithdrawnKeys() throws RefusalException {
        String sameKeyElsewhere = "grant key audit id=x hash=" + TestConfigurations.hash("k1");
        assertThat(refusal(original, "c", sameKeyElsewhere, 1).detail()).contains("already granted");
        String sameId = "grant key plant id=k1 hash=" + TestConfigurations.hash("new");
        assertThat(refusal(original, "c", sameId, 1).detail()).contains("another key with that id");

        FleetConfiguration withdrawn = apply(original, "w", "withdraw key plant k1", 1);
        assertThat(refusal(withdrawn, "c", sameKeyElsewhere, 2).detail()).contains("was withdrawn");
    }

    @Test
    void refusesToTakeOutTheLastFailureDomain() throws RefusalException {
        FleetConfiguration withoutA = apply(original, "c1", "take-out failure-domain a", 1);

        assertThat(refusal(withoutA, "c2", "take-out failure-domain b", 2).detail())
                .contains("return one first");
    }

    @Test
    void appliesEachCommandIdOnce() throws RefusalException {
        FleetConfiguration first = apply(original, "c1", "set account plant rate=20", 1);
        FleetConfiguration second = apply(first, "c2", "set account plant rate=30", 2);

        ChangeResult repeat = ChangeApplier.apply(second, request("c1", "set account plant rate=20", second.version()));

        assertThat(repeat).isEqualTo(new ChangeResult(second, 2, true));
        RefusalException reused = refusal(second, "c1", "set account plant rate=40", 3);
        assertThat(reused.kind()).isEqualTo(RefusalKind.CONFIGURATION_CONFLICT);
    }

    @ParameterizedTest(name = "{0} then {1}: conflict {2}")
    @CsvSource({
        "set account plant rate=20, set account plant rate=30, true",
        "set account plant rate=20, set account plant burst=30, false",
        "set account plant rate=20, set account audit rate=30, false",
        "take-out failure-domain a, return failure-domain a, true",
        "take-out failure-domain a, set account plant rate=20, false",
        "withdraw key plant k1, withdraw key plant k1, false",
        "drain entry-vm e1, drain entry-vm e2, false",
        "drain backend-server m1, return backend-server m1, true",
    })
    void refusesAConcurrentChangeThatDoesNotCommute(String winner, String loser, boolean conflict)
            throws RefusalException {
        FleetConfiguration won = apply(original, "c1", winner, 1);

        if (conflict) {
            RefusalException refusal = refusal(won, "c2", loser, 1);
            assertThat(refusal.kind()).isEqualTo(RefusalKind.CONFIGURATION_CONFLICT);
            assertThat(apply(won, "c3", loser, 2).version()).isEqualTo(3);
        } else {
            assertThat(apply(won, "c2", loser, 1).version()).isEqualTo(3);
        }
    }

    @Test
    void reportsAConflictIfLaterChangesAreNoLongerRecorded() throws RefusalException {
        FleetConfiguration changed = original;
        for (int count = 0; count <= ChangeApplier.MAXIMUM_RECENT_COMMANDS; count++) {
            changed = apply(changed, "c" + count, "set account plant rate=" + count, changed.version());
        }
        assertThat(changed.recentCommands()).hasSize(ChangeApplier.MAXIMUM_RECENT_COMMANDS);
        assertThat(refusal(changed, "late", "drain entry-vm e1", 1).detail()).contains("are no longer recorded");

        FleetConfiguration writtenByHand =
                changed.toBuilder().version(changed.version() + 1).build();
        assertThat(refusal(writtenByHand, "x", "drain entry-vm e1", changed.version())
                        .kind())
                .isEqualTo(RefusalKind.CONFIGURATION_CONFLICT);
    }

    private static FleetConfiguration apply(FleetConfiguration before, String id, String text, long basedOn)
            throws RefusalException {
        return ChangeApplier.apply(before, request(id, text, basedOn)).configuration();
    }

    private static RefusalException refusal(FleetConfiguration before, String id, String text, long basedOn) {
        return assertThrows(RefusalException.class, () -> apply(before, id, text, basedOn));
    }

    private static ChangeRequest request(String id, String text, long basedOn) throws RefusalException {
        return new ChangeRequest(id, basedOn, (ConfigurationChange) CommandParser.parse(text));
    }
}
