package org.banyanhook.core.key;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Hashes keys and compares hashes. */
public final class KeyHashes {

    private static final int FINGERPRINT_DIGITS = 12;

    private KeyHashes() {}

    /**
     * Hashes a key.
     *
     * @param key the key as a caller or operator sent it
     * @return the SHA-256 of the key in lower-case hexadecimal
     */
    public static String hash(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /**
     * Computes a short form of the hash of a key, by which log lines about the same key can be found.
     *
     * @param key the key
     * @return the first twelve hexadecimal digits of its hash
     */
    public static String fingerprint(String key) {
        return hash(key).substring(0, FINGERPRINT_DIGITS);
    }

    /**
     * Compares two hashes in a time that does not depend on where they differ.
     *
     * @param first one hash
     * @param second another hash
     * @return true if they are equal
     */
    public static boolean equalInConstantTime(String first, String second) {
        return MessageDigest.isEqual(
                first.getBytes(StandardCharsets.US_ASCII), second.getBytes(StandardCharsets.US_ASCII));
    }
}
