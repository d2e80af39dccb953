package org.banyanhook.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.banyanhook.core.configuration.AppliedCommand;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationCodecTest {

    private static final String DOCUMENT_OF_A_NEWER_DAEMON = """
            {"version": 7, "quotas": {"daily": 5},
             "failureDomains": [{"name": "ulsan-a", "region": "yeongnam", "rateShare": 0.5, "colour": "red"}],
             "accounts": [
               {"name": "plant", "ratePerSecond": 10, "burst": 5, "tier": "gold",
                "keys": [{"id": "k1", "hash": "h1", "expires": "never"}]},
               {"name": "audit", "ratePerSecond": 1, "burst": 1}],
             "services": [{"name": "inject-db",
               "databases": [{"name": "db-1", "connectionLimit": 16, "slots": 2,
                 "members": [{"name": "m1", "failureDomain": "ulsan-a", "address": "127.0.0.1:1", "disk": 9}]}],
               "routes": [{"name": "status", "kind": "read", "maximumAgeMillis": 500},
                          {"name": "bulk", "kind": "bulk-load", "limit": 3}]}],
             "withdrawnKeyHashes": ["h0"],
             "sessionSecrets": [{"id": "s1", "secret": "c2VjcmV0"}],
             "recentCommands": [{"id": "c1", "version": 7, "text": "t", "subjects": ["a"], "operator": "kim"}]}
            """;

    private final ConfigurationCodec codec = new ConfigurationCodec();

    @Test
    void ignoresUnknownFieldsAndRouteKinds() throws Exception {
        FleetConfiguration read = codec.decode(DOCUMENT_OF_A_NEWER_DAEMON).configuration();

        assertThat(read.version()).isEqualTo(7);
        assertThat(read.services().get(0).routes()).hasSize(1);
        assertThat(read.services().get(0).routes().get(0).kind()).isEqualTo(RouteKind.READ);
        assertThat(read.accounts().get(1).weight()).isEqualTo(1);
    }

    @Test
    void preservesUnknownFieldsWhenEncodingAChange() throws Exception {
        ConfigurationDocument original = codec.decode(DOCUMENT_OF_A_NEWER_DAEMON);
        FleetConfiguration changed = original.configuration().toBuilder()
                .version(8)
                .accounts(List.of(original.configuration().accounts().get(0)))
                .withdrawnKeyHashes(ImmutableSet.of("h0", "h1"))
                .recentCommands(List.of(new AppliedCommand("c2", 8, "u", ImmutableSet.of("b"))))
                .build();

        ConfigurationDocument written = codec.encodeChange(original, changed);

        for (String kept : List.of("quotas", "\"colour\":\"red\"", "\"tier\":\"gold\"", "expires", "\"disk\":9")) {
            assertThat(written.text()).contains(kept);
        }
        assertThat(written.text()).contains("{\"name\":\"bulk\",\"kind\":\"bulk-load\",\"limit\":3}");
        assertThat(written.text()).doesNotContain("audit");
        assertThat(codec.decode(written.text()).configuration()).isEqualTo(changed);
    }

    @Test
    void decodesWhatItEncodes() throws Exception {
        FleetConfiguration configuration =
                codec.decode(DOCUMENT_OF_A_NEWER_DAEMON).configuration();

        assertThat(codec.decode(codec.encode(configuration).text()).configuration())
                .isEqualTo(configuration);
    }

    @ParameterizedTest(name = "{0} -> {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "\"version\": 7 | \"version\": 0 | /version",
                "\"version\": 7 | \"version\": \"7\" | whole number above 0",
                "\"rateShare\": 0.5 | \"rateShare\": 1.5 | rateShare of ulsan-a must be from 0 to 1",
                "\"slots\": 2 | \"slots\": 9999999999 | Out of range",
                "\"accounts\": [ | \"accounts\": [3, | /accounts/0/name",
                "{\"version\" | [{\"version\" | not valid JSON",
            })
    void errorNamesTheInvalidValue(String original, String replacement, String message) {
        String text = DOCUMENT_OF_A_NEWER_DAEMON.replace(original, replacement);

        ConfigurationFormatException exception =
                assertThrows(ConfigurationFormatException.class, () -> codec.decode(text));

        assertThat(exception).hasMessageThat().contains(message);
    }
}
