/** Configuration of log output from the settings. */
@NullMarked
package org.banyanhook.daemon.logging;

import org.jspecify.annotations.NullMarked;
