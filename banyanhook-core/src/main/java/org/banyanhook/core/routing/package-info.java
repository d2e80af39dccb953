/** Where a request goes: its database and the entry VMs that own the connections to it. */
@NullMarked
package org.banyanhook.core.routing;

import org.jspecify.annotations.NullMarked;
