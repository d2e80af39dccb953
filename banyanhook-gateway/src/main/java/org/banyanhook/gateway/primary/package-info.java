/** Replacement of primaries that failed or have to go. */
@NullMarked
package org.banyanhook.gateway.primary;

import org.jspecify.annotations.NullMarked;
