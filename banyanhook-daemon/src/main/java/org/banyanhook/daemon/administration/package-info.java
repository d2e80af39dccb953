/** The operators' interface: health, metrics, version and commands on a port of its own. */
@NullMarked
package org.banyanhook.daemon.administration;

import org.jspecify.annotations.NullMarked;
