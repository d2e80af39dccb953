/** Membership and failure detection of the entry VMs of the fleet (SWIM). */
@NullMarked
package org.banyanhook.core.membership;

import org.jspecify.annotations.NullMarked;
