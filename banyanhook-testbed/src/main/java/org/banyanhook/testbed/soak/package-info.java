/**
 * Randomized soak test: runs gateways as separate processes, injects faults from outside, and checks their guarantees
 * from the answers that callers receive and the logs of the members.
 */
@NullMarked
package org.banyanhook.testbed.soak;

import org.jspecify.annotations.NullMarked;
