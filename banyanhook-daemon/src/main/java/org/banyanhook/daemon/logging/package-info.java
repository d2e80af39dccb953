/** The form of log lines, set by the settings. */
@NullMarked
package org.banyanhook.daemon.logging;

import org.jspecify.annotations.NullMarked;
