/** What the store holds of members, configuration, evacuations and daemons, as mirrored by this daemon. */
@NullMarked
package org.banyanhook.gateway.fleet;

import org.jspecify.annotations.NullMarked;
