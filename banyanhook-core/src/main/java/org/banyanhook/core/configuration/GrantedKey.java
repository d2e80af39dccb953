package org.banyanhook.core.configuration;

/**
 * A key of a client account, as a hash.
 *
 * @param id a name for operators, no secret
 * @param hash the SHA-256 of the key in lower-case hexadecimal
 */
public record GrantedKey(String id, String hash) {}
