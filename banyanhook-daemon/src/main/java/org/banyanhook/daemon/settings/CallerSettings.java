package org.banyanhook.daemon.settings;

import org.jspecify.annotations.Nullable;

/**
 * The settings of the port for callers.
 *
 * @param address the IP address and port to listen on; port 0 selects a free port
 * @param tls the server certificate, or null for plain HTTP
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param defaultDeadlineMillis the deadline of a request without a deadline of its own, in milliseconds
 */
public record CallerSettings(
        String address, @Nullable ServerTlsSettings tls, int maximumBodyBytes, long defaultDeadlineMillis) {}
