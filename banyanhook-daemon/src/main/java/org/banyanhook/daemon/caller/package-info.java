/** The HTTP interface for callers: the server, the filter chain and the JSON requests and replies. */
@NullMarked
package org.banyanhook.daemon.caller;

import org.jspecify.annotations.NullMarked;
