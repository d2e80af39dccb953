/** Typed refusals of requests and commands, which state what is known about execution. */
@NullMarked
package org.banyanhook.core.error;

import org.jspecify.annotations.NullMarked;
