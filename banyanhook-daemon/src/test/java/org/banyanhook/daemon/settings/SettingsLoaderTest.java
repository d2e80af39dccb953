package org.banyanhook.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.banyanhook.core.key.KeyPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsLoaderTest {

    private static final String HASH = "ab".repeat(32);
    private static final String VALID = """
            entryVm: entry-1
            failureDomain: ulsan-a
            region: yeongnam
            callers:
              address: 127.0.0.1:0
            peers:
              address: 127.0.0.1:9101
              seeds: ["127.0.0.1:9102", "[::1]:9103"]
            administration:
              address: 127.0.0.1:0
              operatorKeys:
                - name: kim
                  hash: %s
                  role: operate
            platform:
              address: 127.0.0.1:9000
            log:
              level: debug
            """.formatted(HASH);

    private final SettingsLoader loader = new SettingsLoader();

    @Test
    void appliesDefaults() throws SettingsException {
        DaemonSettings settings = loader.parse("d.yaml", VALID);

        assertThat(settings.callers()).isEqualTo(new CallerSettings("127.0.0.1:0", null, 1048576, 10000));
        assertThat(settings.log()).isEqualTo(new LogSettings(LogFormat.TEXT, "debug"));
        assertThat(settings.isolation().keyPolicy()).isEqualTo(KeyPolicy.REFUSE);
        assertThat(settings.administration().operatorKeys())
                .containsExactly(new OperatorKey("kim", HASH, OperatorRole.OPERATE));
    }

    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "entryVm: entry-1 | entryVm: Entry_1 | d.yaml:1: /entryVm is \"Entry_1\" | form",
                "entryVm: entry-1 | entryVM: entry-1 | /entryVM is \"entry-1\": no such setting | remove",
                "region: yeongnam | colour: z | /region is missing: a required setting | add it",
                "callers:\\n  address: 127.0.0.1:0 | callers:\\n  address: ulsan:80 | d.yaml:5: /callers/address | IP",
                "127.0.0.1:9101 | 127.0.0.1:0 | /peers/address is \"127.0.0.1:0\" | from 1 to 65535",
                "role: operate | role: admin | /administration/operatorKeys/0/role | one of [\"read\",\"operate\"]",
                "hash: ab | hash: my-plain-key-ab | hash is (not shown) | form",
                "level: debug | level: loud | d.yaml:18: /log/level is \"loud\" | one of",
                "level: debug | level: [ | d.yaml:18 | valid YAML",
                "level: debug | level: info\\n  level: warn | d.yaml:19 | each key once",
                "127.0.0.1:9000 | '\"127.0.0.1:9000\"\\ncallers: {}' | d.yaml: | each key once",
                "callers:\\n | callers:\\n  tls: {certificateChain: /no, privateKey: /no}\\n | cannot read the file /no | PEM",
                "callers:\\n | callers:\\n  maximumBodyBytes: 12\\n | /callers/maximumBodyBytes is 12 | at least 1024",
            })
    void reportsLocationValueAndRemedy(String from, String to, String location, String remedy) {
        String text = VALID.replace(from.replace("\\n", "\n"), to.replace("\\n", "\n"));

        SettingsException exception = assertThrows(SettingsException.class, () -> loader.parse("d.yaml", text));

        assertThat(exception).hasMessageThat().contains(location);
        assertThat(exception).hasMessageThat().contains(remedy);
        assertThat(exception).hasMessageThat().doesNotContain("my-plain-key");
    }

    @Test
    void rejectsDuplicateAddressesAndOperatorNames() {
        String text = VALID.replace(
                        "administration:\n  address: 127.0.0.1:0", "administration:\n  address: 127.0.0.1:9101")
                .replace("    - name: kim", "    - {name: kim, hash: " + HASH + ", role: read}\n    - name: kim");

        SettingsException exception = assertThrows(SettingsException.class, () -> loader.parse("d.yaml", text));

        assertThat(exception.errors().stream().map(SettingsError::path))
                .containsExactly("/administration/address", "/administration/operatorKeys/1/name");
    }

    @Test
    void rejectsAnEmptyOrMissingFile() {
        assertThrows(SettingsException.class, () -> loader.parse("d.yaml", ""));
        assertThrows(SettingsException.class, () -> loader.load(java.nio.file.Path.of("no-such-file.yaml")));
    }
}
