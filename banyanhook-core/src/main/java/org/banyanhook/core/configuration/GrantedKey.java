package org.banyanhook.core.configuration;

/**
 * A key that was granted to a client account, stored as a hash.
 *
 * @param id the name of the key for operators; not secret
 * @param hash the SHA-256 of the key in lower-case hexadecimal
 */
public record GrantedKey(String id, String hash) {}
