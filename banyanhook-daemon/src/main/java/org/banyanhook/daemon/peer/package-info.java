/** Sends and receives messages between the daemons of the fleet. */
@NullMarked
package org.banyanhook.daemon.peer;

import org.jspecify.annotations.NullMarked;
