/** The messages exchanged with callers and members, independent of the wire format. */
@NullMarked
package org.banyanhook.gateway.message;

import org.jspecify.annotations.NullMarked;
