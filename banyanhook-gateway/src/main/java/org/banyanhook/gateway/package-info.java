/** The gateway daemon, which serves connection-oriented sessions of callers. */
@NullMarked
package org.banyanhook.gateway;

import org.jspecify.annotations.NullMarked;
