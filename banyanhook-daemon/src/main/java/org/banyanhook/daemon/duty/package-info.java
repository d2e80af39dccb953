/** Single-threaded task loops with bounded queues, which confine mutable state to one thread each. */
@NullMarked
package org.banyanhook.daemon.duty;

import org.jspecify.annotations.NullMarked;
