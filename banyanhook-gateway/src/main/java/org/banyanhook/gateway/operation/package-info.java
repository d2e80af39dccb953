/** Logging, metrics, the HTTP endpoint, socket options and the monotonic clock. */
@NullMarked
package org.banyanhook.gateway.operation;

import org.jspecify.annotations.NullMarked;
