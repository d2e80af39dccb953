/** Connections to backend servers. */
@NullMarked
package org.banyanhook.daemon.backend;

import org.jspecify.annotations.NullMarked;
