/** A fleet of real processes on 127.0.0.1, for demonstrations, experiments and integration tests. */
@NullMarked
package org.banyanhook.testbed.fleet;

import org.jspecify.annotations.NullMarked;
