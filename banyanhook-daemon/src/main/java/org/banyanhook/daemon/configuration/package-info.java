/** The effective configuration of an entry VM: reading it from the platform, exchanging it with peers, changing it. */
@NullMarked
package org.banyanhook.daemon.configuration;

import org.jspecify.annotations.NullMarked;
