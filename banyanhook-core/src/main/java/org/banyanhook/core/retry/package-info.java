/** Retry policy and retry budget of failed requests. */
@NullMarked
package org.banyanhook.core.retry;

import org.jspecify.annotations.NullMarked;
