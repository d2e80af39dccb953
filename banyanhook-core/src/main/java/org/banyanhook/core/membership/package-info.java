/** Failure detection between the entry VMs of the fleet. */
@NullMarked
package org.banyanhook.core.membership;

import org.jspecify.annotations.NullMarked;
