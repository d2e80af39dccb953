/** HTTP interface for operators on a separate port: health, metrics, version and commands. */
@NullMarked
package org.banyanhook.daemon.administration;

import org.jspecify.annotations.NullMarked;
