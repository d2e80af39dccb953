package org.banyanhook.daemon.settings;

import org.banyanhook.core.key.KeyPolicy;

/**
 * What a daemon does while it is cut off.
 *
 * @param keyPolicy what it does with keyed requests while it cannot learn of withdrawals made elsewhere
 */
public record IsolationSettings(KeyPolicy keyPolicy) {}
