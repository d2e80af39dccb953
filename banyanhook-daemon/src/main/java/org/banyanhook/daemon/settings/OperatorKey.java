package org.banyanhook.daemon.settings;

/**
 * A key of an operator, as a hash.
 *
 * @param name the name of the operator, used in log lines
 * @param hash the SHA-256 of the key in lower-case hexadecimal
 * @param role what the operator may do
 */
public record OperatorKey(String name, String hash, OperatorRole role) {}
