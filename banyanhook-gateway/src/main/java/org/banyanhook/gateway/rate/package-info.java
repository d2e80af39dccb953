/** Rates of client accounts over all daemons. */
@NullMarked
package org.banyanhook.gateway.rate;

import org.jspecify.annotations.NullMarked;
