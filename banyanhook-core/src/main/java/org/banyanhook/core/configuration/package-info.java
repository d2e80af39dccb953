/** The configuration of the fleet as immutable values, and what an entry VM records about its distribution. */
@NullMarked
package org.banyanhook.core.configuration;

import org.jspecify.annotations.NullMarked;
