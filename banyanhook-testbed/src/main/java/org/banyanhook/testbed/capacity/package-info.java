/** Measures what the decisions of one daemon cost as the fleet grows, without sockets. */
@NullMarked
package org.banyanhook.testbed.capacity;

import org.jspecify.annotations.NullMarked;
