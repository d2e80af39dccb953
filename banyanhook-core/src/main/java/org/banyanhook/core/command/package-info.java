/** The operators' command language and what its changes do to the configuration. */
@NullMarked
package org.banyanhook.core.command;

import org.jspecify.annotations.NullMarked;
