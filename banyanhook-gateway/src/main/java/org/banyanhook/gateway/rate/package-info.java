/** Rate limits of client accounts across all daemons. */
@NullMarked
package org.banyanhook.gateway.rate;

import org.jspecify.annotations.NullMarked;
