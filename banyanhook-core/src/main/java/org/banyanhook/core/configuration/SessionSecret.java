package org.banyanhook.core.configuration;

/**
 * A secret that authenticates session tokens.
 *
 * @param id the id that a token names its secret by
 * @param secret the secret, Base64 with at least 32 bytes; never shown or logged
 */
public record SessionSecret(String id, String secret) {
    @Override
    public String toString() {
        return "SessionSecret[id=" + id + "]";
    }
}
