/** The interfaces to the platform that the gateway requires: record store, promotion authority and codecs. */
@NullMarked
package org.banyanhook.gateway.port;

import org.jspecify.annotations.NullMarked;
