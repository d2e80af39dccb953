package org.banyanhook.daemon.settings;

/**
 * The key of an operator, stored as a hash.
 *
 * @param name the name of the operator, used in log lines
 * @param hash the SHA-256 of the key in lower-case hexadecimal
 * @param role the role of the operator
 */
public record OperatorKey(String name, String hash, OperatorRole role) {}
