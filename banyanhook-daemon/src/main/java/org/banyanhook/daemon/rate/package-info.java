/** Fleet-wide rates as seen by one entry VM. */
@NullMarked
package org.banyanhook.daemon.rate;

import org.jspecify.annotations.NullMarked;
