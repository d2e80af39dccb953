/** Which member of each database group is primary, and the confirmation of positions. */
@NullMarked
package org.banyanhook.daemon.primary;

import org.jspecify.annotations.NullMarked;
