/** Which entry VMs are believed alive. */
@NullMarked
package org.banyanhook.daemon.membership;

import org.jspecify.annotations.NullMarked;
