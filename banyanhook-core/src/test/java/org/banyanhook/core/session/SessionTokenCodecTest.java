package org.banyanhook.core.session;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Base64;
import java.util.List;
import java.util.Random;
import org.banyanhook.core.configuration.SessionSecret;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SessionTokenCodecTest {

    private static final SessionSecret OLD = secret("2026-11", 1);
    private static final SessionSecret NEW = secret("2026-12", 2);
    private static final SessionToken TOKEN = SessionToken.start("plant")
            .with("inject-1", new LogPosition(3, 70))
            .with("inject-2", new LogPosition(1, Long.MAX_VALUE));

    @Test
    void decodesWhatItEncoded() throws RefusalException {
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        assertThat(codec.decode(codec.encode(TOKEN), "plant")).isEqualTo(TOKEN);
        SessionToken open = SessionToken.start("");
        assertThat(codec.decode(codec.encode(open), "")).isEqualTo(open);
    }

    @Test
    void verifiesWithTheOlderSecretDuringRotation() throws RefusalException {
        String text = SessionTokenCodec.create(List.of(OLD)).encode(TOKEN);
        assertThat(SessionTokenCodec.create(List.of(NEW, OLD)).decode(text, "plant"))
                .isEqualTo(TOKEN);
        assertInvalid(SessionTokenCodec.create(List.of(NEW)), text, "plant");
    }

    @Test
    void refusesTokenOfAnotherAccount() throws RefusalException {
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        assertInvalid(codec, codec.encode(TOKEN), "dispatch");
        assertInvalid(codec, codec.encode(TOKEN), "");
    }

    @Test
    void refusesSecretOfTheSameIdWithAnotherValue() throws RefusalException {
        String text = SessionTokenCodec.create(List.of(OLD)).encode(TOKEN);
        assertInvalid(SessionTokenCodec.create(List.of(secret(OLD.id(), 9))), text, "plant");
    }

    @Test
    void refusesEveryChangedBit() throws RefusalException {
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        byte[] bytes = Base64.getUrlDecoder().decode(codec.encode(TOKEN));
        for (int bit = 0; bit < bytes.length * 8; bit++) {
            byte[] changed = bytes.clone();
            changed[bit / 8] ^= (byte) (1 << (bit % 8));
            assertInvalid(codec, Base64.getUrlEncoder().encodeToString(changed), "plant");
        }
    }

    @Test
    void refusesEveryTruncation() throws RefusalException {
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        String text = codec.encode(TOKEN);
        for (int length = 0; length < text.length(); length++) {
            assertInvalid(codec, text.substring(0, length), "plant");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "!", "====", "AAAA", "a.b.c", "\u00e9"})
    void refusesTextThatIsNoToken(String text) throws RefusalException {
        assertInvalid(SessionTokenCodec.create(List.of(NEW)), text, "plant");
    }

    @Test
    void refusesRandomBytesAndOversizedText() throws RefusalException {
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        for (long seed = 1; seed <= 300; seed++) {
            byte[] bytes = new byte[(int) seed];
            new Random(seed).nextBytes(bytes);
            assertInvalid(codec, Base64.getUrlEncoder().encodeToString(bytes), "plant");
        }
        assertInvalid(codec, "A".repeat(SessionTokenCodec.MAXIMUM_CHARACTERS + 1), "plant");
    }

    @Test
    void largestTokenIsDecodable() throws RefusalException {
        SessionToken token = SessionToken.start("plant");
        for (int index = 0; index < SessionToken.MAXIMUM_DATABASES; index++) {
            String name = String.format("%0" + SessionToken.MAXIMUM_NAME_BYTES + "d", index);
            token.requireCapacityFor(name);
            token = token.with(name, new LogPosition(Long.MAX_VALUE, Long.MAX_VALUE));
        }
        SessionTokenCodec codec = SessionTokenCodec.create(List.of(NEW));
        String text = codec.encode(token);
        assertThat(text.length()).isAtMost(SessionTokenCodec.MAXIMUM_CHARACTERS);
        assertThat(codec.decode(text, "plant")).isEqualTo(token);
        SessionToken full = token;
        RefusalException refusal = assertThrows(RefusalException.class, () -> full.requireCapacityFor("more"));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.SESSION_FULL);
    }

    @Test
    void refusesMissingOrShortSecrets() {
        RefusalException refusal = assertThrows(RefusalException.class, () -> SessionTokenCodec.create(List.of()));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.ENTRY_VM_NOT_READY);
        assertThrows(
                IllegalArgumentException.class,
                () -> SessionTokenCodec.create(List.of(new SessionSecret("short", "AAAA"))));
    }

    private static void assertInvalid(SessionTokenCodec codec, String text, String account) {
        RefusalException refusal = assertThrows(RefusalException.class, () -> codec.decode(text, account));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.SESSION_INVALID);
        assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        if (text.length() > 8) {
            assertWithMessage("detail does not contain the token")
                    .that(refusal.detail())
                    .doesNotContain(text);
        }
    }

    private static SessionSecret secret(String id, int fill) {
        byte[] bytes = new byte[32];
        new Random(fill).nextBytes(bytes);
        return new SessionSecret(id, Base64.getEncoder().encodeToString(bytes));
    }
}
