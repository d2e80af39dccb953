package org.banyanhook.daemon.settings;

import org.jspecify.annotations.Nullable;

/**
 * The port for callers.
 *
 * @param address the IP number and port to listen on; port 0 takes a free one
 * @param tls the certificate to show to callers, or null to speak plain HTTP
 * @param maximumBodyBytes the largest request body accepted, in bytes
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds
 */
public record CallerSettings(
        String address, @Nullable ServerTlsSettings tls, int maximumBodyBytes, long defaultDeadlineMillis) {}
