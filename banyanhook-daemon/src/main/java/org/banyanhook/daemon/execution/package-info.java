/** Executes statements and transactions on the members of a database group. */
@NullMarked
package org.banyanhook.daemon.execution;

import org.jspecify.annotations.NullMarked;
