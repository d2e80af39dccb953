/** What the gateway needs from its surroundings: the record store, the promotion authority and the codecs. */
@NullMarked
package org.banyanhook.gateway.port;

import org.jspecify.annotations.NullMarked;
