/** Enforces the fleet-wide request rates of client accounts on one entry VM. */
@NullMarked
package org.banyanhook.daemon.rate;

import org.jspecify.annotations.NullMarked;
