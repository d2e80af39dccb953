/** Failover from failed primaries and planned switchover from primaries that have to be replaced. */
@NullMarked
package org.banyanhook.gateway.primary;

import org.jspecify.annotations.NullMarked;
