/** Pooled connections to backend servers and the requests sent over them. */
@NullMarked
package org.banyanhook.daemon.backend;

import org.jspecify.annotations.NullMarked;
