/** Experiments under open-loop load on a fleet of real processes. */
@NullMarked
package org.banyanhook.testbed.load;

import org.jspecify.annotations.NullMarked;
