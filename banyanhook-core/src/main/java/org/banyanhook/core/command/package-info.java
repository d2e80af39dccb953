/** The operators' command language, and the configuration changes that its commands make. */
@NullMarked
package org.banyanhook.core.command;

import org.jspecify.annotations.NullMarked;
