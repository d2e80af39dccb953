package org.banyanhook.core.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against commands that are not parsed as they are written, and against errors that do not name the problem. */
class CommandParserTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "show accounts",
                "show failure-domains",
                "explain inject-db status",
                "explain inject-db status database=db-1 account=plant",
                "explain inject-db status partition-key=\"valve 7 \\\"b\\\"\" account=plant",
                "set account plant rate=10.5",
                "set account plant rate=10.0 burst=5.0 weight=2",
                "set route inject-db status maximum-age-millis=500",
                "grant account plant rate=1.0 burst=0.0 weight=1",
                "grant key plant id=k1 hash=0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f",
                "withdraw key plant k1",
                "take-out failure-domain ulsan-a",
                "return failure-domain ulsan-a",
                "drain backend-server db-1-a",
                "return backend-server db-1-a",
                "drain entry-vm entry-1",
                "return entry-vm entry-1",
            })
    void parsesAndFormatsEveryCommand(String text) throws RefusalException {
        assertThat(CommandParser.parse(text).text()).isEqualTo(text);
        assertThat(CommandParser.parse("  " + text.replace(" key", "\t key") + " # comment")
                        .text())
                .isEqualTo(text);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "`` ~ The command is empty",
                "frobnicate x ~ Unknown command 'frobnicate x'; use one of: show accounts|",
                "show colours ~ unknown subject 'colours'",
                "show accounts now ~ unexpected argument 'now'",
                "set account plant ~ give at least one of 'rate=', 'burst=' and 'weight='",
                "set account plant rate=-1 ~ 'rate=-1' is not a number of at least 0",
                "set account plant rate=NaN ~ is not a number",
                "set account plant rate=1 rate=2 ~ option 'rate' is given twice",
                "set account plant weight=0 ~ is not an integer of at least 1",
                "set account Plant rate=1 ~ the name 'Plant' must be 1 to 63 lower-case letters, digits",
                "set account plant rte=1 rate=1 ~ unknown option 'rte='",
                "set route inject-db status ~ 'maximum-age-millis=' is missing",
                "grant account plant rate=1 ~ 'burst=' is missing",
                "grant key plant id=k1 hash=secret ~ 64 lower-case hexadecimal digits",
                "withdraw key plant ~ the id is missing",
                "explain a b database=d partition-key=k ~ are mutually exclusive",
                "drain failure-domain a ~ Unknown command 'drain failure-domain'",
                "show \"accounts ~ a quote that is not closed",
                "show accounts\\ ~ a backslash",
            })
    void errorNamesTheProblem(String text, String message) {
        RefusalException refusal = assertThrows(RefusalException.class, () -> CommandParser.parse(text));

        assertThat(refusal.kind()).isEqualTo(RefusalKind.COMMAND_UNKNOWN);
        assertThat(refusal.detail()).contains(message);
    }

    @Test
    void errorDoesNotContainTheValueOfAKeyHash() {
        RefusalException refusal =
                assertThrows(RefusalException.class, () -> CommandParser.parse("grant key plant id=k hash=secret"));

        assertThat(refusal).hasMessageThat().doesNotContain("secret");
    }
}
