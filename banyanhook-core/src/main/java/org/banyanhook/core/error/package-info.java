/** Typed refusals and the truth that they state about execution. */
@NullMarked
package org.banyanhook.core.error;

import org.jspecify.annotations.NullMarked;
