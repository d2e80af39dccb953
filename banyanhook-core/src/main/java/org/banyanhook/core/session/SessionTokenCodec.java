package org.banyanhook.core.session;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.banyanhook.core.configuration.SessionSecret;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;

/**
 * Encodes session tokens as opaque, authenticated text, and decodes them.
 *
 * <p>The text is the Base64url encoding of a body and its HMAC-SHA-256. The body contains the id of the secret, so that
 * secrets can be rotated. The client account is not part of the body but of the authenticated data: the token of one
 * account does not verify for another. Immutable and thread-safe.
 */
public final class SessionTokenCodec {

    /** The maximum length of a text that is decoded. */
    public static final int MAXIMUM_CHARACTERS = 8192;

    private static final byte FORMAT_VERSION = 1;
    private static final int AUTHENTICATOR_BYTES = 32;
    private static final int MINIMUM_SECRET_BYTES = 32;
    private static final int MAXIMUM_SECRET_ID_BYTES = 63;

    private final String signingSecretId;
    private final ImmutableMap<String, HashFunction> authenticators;

    private SessionTokenCodec(String signingSecretId, Map<String, HashFunction> authenticators) {
        this.signingSecretId = signingSecretId;
        this.authenticators = ImmutableMap.copyOf(authenticators);
    }

    /**
     * Creates a codec.
     *
     * @param secrets the secrets of the effective configuration, the newest first; the first one signs, all verify
     * @return the codec
     * @throws RefusalException of kind {@link RefusalKind#ENTRY_VM_NOT_READY} if there is no secret yet
     * @throws IllegalArgumentException if a secret is not Base64 or is shorter than 32 bytes, or its id is longer than
     *     63 bytes
     */
    public static SessionTokenCodec create(List<SessionSecret> secrets) throws RefusalException {
        if (secrets.isEmpty()) {
            throw RefusalException.notRun(
                    RefusalKind.ENTRY_VM_NOT_READY, "the configuration contains no session secret yet");
        }
        ImmutableMap.Builder<String, HashFunction> authenticators = ImmutableMap.builder();
        for (SessionSecret secret : secrets) {
            authenticators.put(secret.id(), authenticator(secret));
        }
        return new SessionTokenCodec(secrets.get(0).id(), authenticators.buildOrThrow());
    }

    private static HashFunction authenticator(SessionSecret secret) {
        checkArgument(
                secret.id().getBytes(UTF_8).length <= MAXIMUM_SECRET_ID_BYTES,
                "id of session secret %s must have at most %s bytes",
                secret.id(),
                MAXIMUM_SECRET_ID_BYTES);
        byte[] key = Base64.getDecoder().decode(secret.secret());
        checkArgument(
                key.length >= MINIMUM_SECRET_BYTES,
                "session secret %s must have at least %s bytes, has %s",
                secret.id(),
                MINIMUM_SECRET_BYTES,
                key.length);
        return Hashing.hmacSha256(key);
    }

    /**
     * Encodes a token and signs it with the newest secret.
     *
     * @param token the token
     * @return the text for the header {@code Banyanhook-Session}
     */
    public String encode(SessionToken token) {
        byte[] body = encodeBody(requireNonNull(token, "token"));
        byte[] authenticator =
                authenticate(requireNonNull(authenticators.get(signingSecretId)), token.clientAccount(), body);
        ByteBuffer text = ByteBuffer.allocate(body.length + AUTHENTICATOR_BYTES);
        text.put(body);
        text.put(authenticator);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(text.array());
    }

    /**
     * Decodes a token and verifies its authenticity.
     *
     * @param text the text of the header, at most {@link #MAXIMUM_CHARACTERS} characters
     * @param clientAccount the client account whose key came with the request, empty on a public route
     * @return the token
     * @throws RefusalException of kind {@link RefusalKind#SESSION_INVALID} if the text is not a token, was modified, or
     *     was issued to another client account
     */
    public SessionToken decode(String text, String clientAccount) throws RefusalException {
        requireNonNull(clientAccount, "clientAccount");
        if (text.length() > MAXIMUM_CHARACTERS) {
            throw invalid("the session token has " + text.length() + " characters, more than the maximum of "
                    + MAXIMUM_CHARACTERS);
        }
        byte[] bytes = decodeBase64(text);
        if (bytes.length <= AUTHENTICATOR_BYTES) {
            throw invalid("the session token is too short");
        }
        byte[] body = Arrays.copyOf(bytes, bytes.length - AUTHENTICATOR_BYTES);
        byte[] authenticator = Arrays.copyOfRange(bytes, body.length, bytes.length);
        try {
            ByteBuffer buffer = ByteBuffer.wrap(body);
            verify(readSecretId(buffer), clientAccount, body, authenticator);
            return readPositions(buffer, clientAccount);
        } catch (BufferUnderflowException | IllegalArgumentException exception) {
            throw invalid("the session token is malformed");
        }
    }

    private static byte[] decodeBase64(String text) throws RefusalException {
        try {
            return Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException exception) {
            throw invalid("the session token is not Base64url");
        }
    }

    private byte[] encodeBody(SessionToken token) {
        ByteArrayDataOutput output = ByteStreams.newDataOutput();
        output.writeByte(FORMAT_VERSION);
        writeName(output, signingSecretId);
        output.writeByte(token.positions().size());
        for (Map.Entry<String, LogPosition> entry : token.positions().entrySet()) {
            writeName(output, entry.getKey());
            output.writeLong(entry.getValue().term());
            output.writeLong(entry.getValue().position());
        }
        return output.toByteArray();
    }

    private static void writeName(ByteArrayDataOutput output, String name) {
        byte[] bytes = name.getBytes(UTF_8);
        output.writeByte(bytes.length);
        output.write(bytes);
    }

    private static String readSecretId(ByteBuffer buffer) throws RefusalException {
        if (buffer.get() != FORMAT_VERSION) {
            throw invalid("the session token has an unknown format version");
        }
        return readName(buffer);
    }

    private void verify(String secretId, String clientAccount, byte[] body, byte[] authenticator)
            throws RefusalException {
        HashFunction function = authenticators.get(secretId);
        if (function == null) {
            throw invalid("the session token refers to a secret that is not in the effective configuration");
        }
        if (!MessageDigest.isEqual(authenticate(function, clientAccount, body), authenticator)) {
            throw invalid("the session token was modified or belongs to another client account");
        }
    }

    private static SessionToken readPositions(ByteBuffer buffer, String clientAccount) throws RefusalException {
        SessionToken token = SessionToken.start(clientAccount);
        int count = buffer.get();
        for (int index = 0; index < count; index++) {
            String database = readName(buffer);
            token = token.with(database, new LogPosition(buffer.getLong(), buffer.getLong()));
        }
        if (buffer.hasRemaining()) {
            throw invalid("the session token has trailing bytes");
        }
        return token;
    }

    private static String readName(ByteBuffer buffer) {
        int length = buffer.get();
        checkArgument(length >= 0, "name length must not be negative, was %s", length);
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return new String(bytes, UTF_8);
    }

    private static byte[] authenticate(HashFunction function, String clientAccount, byte[] body) {
        byte[] account = clientAccount.getBytes(UTF_8);
        return function.newHasher()
                .putInt(account.length)
                .putBytes(account)
                .putBytes(body)
                .hash()
                .asBytes();
    }

    private static RefusalException invalid(String detail) {
        return RefusalException.notRun(RefusalKind.SESSION_INVALID, detail);
    }
}
