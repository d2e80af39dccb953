/** Request routing: the database of a request, the entry VMs that own its connections, and the member that runs it. */
@NullMarked
package org.banyanhook.core.routing;

import org.jspecify.annotations.NullMarked;
