/** Counts of requests by client account and time window, and the decisions on their reports. No clocks, no I/O. */
@NullMarked
package org.banyanhook.core.usage;

import org.jspecify.annotations.NullMarked;
