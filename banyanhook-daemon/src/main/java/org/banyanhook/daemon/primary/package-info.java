/** Detection and replacement of the primary of each database group, and the confirmation of log positions. */
@NullMarked
package org.banyanhook.daemon.primary;

import org.jspecify.annotations.NullMarked;
