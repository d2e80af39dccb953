/** The daemon that serves connection-oriented sessions. */
@NullMarked
package org.banyanhook.gateway;

import org.jspecify.annotations.NullMarked;
