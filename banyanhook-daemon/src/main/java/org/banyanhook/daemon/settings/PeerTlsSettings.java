package org.banyanhook.daemon.settings;

/**
 * The certificates by which daemons authenticate each other.
 *
 * @param certificateChain the path of a PEM file with the certificate chain
 * @param privateKey the path of a PEM file with the private key in PKCS #8
 * @param trustedCertificates the path of a PEM file with the CA certificates that sign the peers' certificates
 */
public record PeerTlsSettings(String certificateChain, String privateKey, String trustedCertificates) {}
