/** A randomized soak: real gateways as processes, faults from outside them, and the promises checked by callers. */
@NullMarked
package org.banyanhook.testbed.soak;

import org.jspecify.annotations.NullMarked;
