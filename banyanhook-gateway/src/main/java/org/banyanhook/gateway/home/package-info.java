/**
 * Homes of members: daemons near a member that keep connections to it and run the work of other daemons on them, in
 * fleets with more daemons than a member accepts connections.
 */
@NullMarked
package org.banyanhook.gateway.home;

import org.jspecify.annotations.NullMarked;
