/** Connections to the members of database groups and the placement of statements on them. */
@NullMarked
package org.banyanhook.gateway.backend;

import org.jspecify.annotations.NullMarked;
