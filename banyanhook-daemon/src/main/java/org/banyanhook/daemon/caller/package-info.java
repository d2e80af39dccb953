/** The callers' interface: HTTP, JSON and the filter chain. */
@NullMarked
package org.banyanhook.daemon.caller;

import org.jspecify.annotations.NullMarked;
