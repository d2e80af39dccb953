package org.banyanhook.daemon.settings;

import org.banyanhook.core.key.KeyPolicy;

/**
 * The behavior of a daemon while it is isolated from the fleet.
 *
 * @param keyPolicy the handling of requests with a key while withdrawals made on other entry VMs cannot be received
 */
public record IsolationSettings(KeyPolicy keyPolicy) {}
