/** A local copy of the store's records of members, configuration, evacuations, promotions and daemons. */
@NullMarked
package org.banyanhook.gateway.fleet;

import org.jspecify.annotations.NullMarked;
