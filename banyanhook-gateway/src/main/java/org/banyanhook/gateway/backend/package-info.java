/** Connections to the members of database groups, and the choice of the member that runs a statement. */
@NullMarked
package org.banyanhook.gateway.backend;

import org.jspecify.annotations.NullMarked;
