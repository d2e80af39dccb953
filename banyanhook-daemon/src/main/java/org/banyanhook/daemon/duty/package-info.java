/** Threads that each own one piece of state, fed by bounded rings. */
@NullMarked
package org.banyanhook.daemon.duty;

import org.jspecify.annotations.NullMarked;
