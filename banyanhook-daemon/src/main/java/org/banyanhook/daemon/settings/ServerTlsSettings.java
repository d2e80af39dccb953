package org.banyanhook.daemon.settings;

/**
 * The certificate of a TLS server.
 *
 * @param certificateChain the path of a PEM file with the certificate chain
 * @param privateKey the path of a PEM file with the private key in PKCS #8
 */
public record ServerTlsSettings(String certificateChain, String privateKey) {}
