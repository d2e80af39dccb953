/** Sends requests to the entry VMs that own the connections to a database, and serves those of others. */
@NullMarked
package org.banyanhook.daemon.forwarding;

import org.jspecify.annotations.NullMarked;
