/** Reads the changes of the store through two daemons of each failure domain where the fleet is large. */
@NullMarked
package org.banyanhook.gateway.reader;

import org.jspecify.annotations.NullMarked;
