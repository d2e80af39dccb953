/** Which failed requests may be sent again. */
@NullMarked
package org.banyanhook.core.retry;

import org.jspecify.annotations.NullMarked;
