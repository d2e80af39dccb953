package org.banyanhook.core.key;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against access with withdrawn, unknown or ambiguous keys, and against keys in error details. */
class KeyRegistryTest {

    private final KeyRegistry registry = KeyRegistry.of(new FleetConfiguration(
            1,
            List.of(),
            List.of(account("plant", "good", "gone", "shared"), account("audit", "other", "shared")),
            List.of(),
            Set.of(KeyHashes.hash("gone"), KeyHashes.hash("gone without grant")),
            List.of(),
            List.of()));

    @Test
    void findsTheAccountThatAKeyWasGrantedTo() throws RefusalException {
        assertThat(registry.accountOf("good").name()).isEqualTo("plant");
        assertThat(registry.accountOf("other").name()).isEqualTo("audit");
    }

    @ParameterizedTest
    @CsvSource({
        "gone, KEY_WITHDRAWN",
        "gone without grant, KEY_WITHDRAWN",
        "never granted, KEY_UNKNOWN",
        "shared, KEY_UNKNOWN",
        "Good, KEY_UNKNOWN",
        "'', KEY_UNKNOWN",
    })
    void refusesWithdrawnUnknownAndAmbiguousKeys(String key, RefusalKind kind) {
        RefusalException refusal = assertThrows(RefusalException.class, () -> registry.accountOf(key));

        assertThat(refusal.kind()).isEqualTo(kind);
        if (!key.isEmpty()) {
            assertThat(refusal.detail()).doesNotContain(key);
        }
    }

    @Test
    void refusesTheHashInPlaceOfTheKey() {
        assertThrows(RefusalException.class, () -> registry.accountOf(KeyHashes.hash("good")));
        assertThat(KeyHashes.equalInConstantTime(KeyHashes.hash("a"), KeyHashes.hash("a")))
                .isTrue();
        assertThat(KeyHashes.equalInConstantTime(KeyHashes.hash("a"), KeyHashes.hash("b")))
                .isFalse();
    }

    private static ClientAccount account(String name, String... keys) {
        List<GrantedKey> granted = List.of(keys).stream()
                .map(key -> new GrantedKey(key, KeyHashes.hash(key)))
                .toList();
        return new ClientAccount(name, granted, 1, 1, 1);
    }
}
