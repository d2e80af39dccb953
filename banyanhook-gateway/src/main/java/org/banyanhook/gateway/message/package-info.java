/** What callers, members and daemons say to each other, apart from how it is written on the wire. */
@NullMarked
package org.banyanhook.gateway.message;

import org.jspecify.annotations.NullMarked;
