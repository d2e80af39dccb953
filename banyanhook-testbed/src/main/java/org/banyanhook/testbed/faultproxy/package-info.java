/** A TCP proxy that plays the faults of a network. */
@NullMarked
package org.banyanhook.testbed.faultproxy;

import org.jspecify.annotations.NullMarked;
