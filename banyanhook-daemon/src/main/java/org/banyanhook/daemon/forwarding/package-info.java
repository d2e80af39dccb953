/** Forwards requests to the homes of a database, which own the connections to it, and serves forwarded requests. */
@NullMarked
package org.banyanhook.daemon.forwarding;

import org.jspecify.annotations.NullMarked;
