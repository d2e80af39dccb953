/** Failover of failed primaries and planned switchover of leaving ones. */
@NullMarked
package org.banyanhook.gateway.primary;

import org.jspecify.annotations.NullMarked;
