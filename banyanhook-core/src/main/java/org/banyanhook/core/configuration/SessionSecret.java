package org.banyanhook.core.configuration;

/**
 * A secret that authenticates session tokens.
 *
 * @param id the id by which a token refers to its secret
 * @param secret the secret, at least 32 bytes in Base64; never shown or logged
 */
public record SessionSecret(String id, String secret) {
    @Override
    public String toString() {
        return "SessionSecret[id=" + id + "]";
    }
}
