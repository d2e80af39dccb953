/** Fleet-wide rates of client accounts by allotments with conserved tokens. */
@NullMarked
package org.banyanhook.core.rate;

import org.jspecify.annotations.NullMarked;
