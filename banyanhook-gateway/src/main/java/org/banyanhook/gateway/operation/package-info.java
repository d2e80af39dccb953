/** Logs, metrics, readiness and the steady clock. */
@NullMarked
package org.banyanhook.gateway.operation;

import org.jspecify.annotations.NullMarked;
