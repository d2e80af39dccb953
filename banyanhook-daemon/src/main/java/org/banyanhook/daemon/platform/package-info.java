/** The client of the platform's service. */
@NullMarked
package org.banyanhook.daemon.platform;

import org.jspecify.annotations.NullMarked;
