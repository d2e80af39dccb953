/** Detects which entry VMs of the fleet are alive. */
@NullMarked
package org.banyanhook.daemon.membership;

import org.jspecify.annotations.NullMarked;
