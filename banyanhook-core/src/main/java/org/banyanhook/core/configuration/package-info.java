/** The fleet configuration that operators own, as immutable values. */
@NullMarked
package org.banyanhook.core.configuration;

import org.jspecify.annotations.NullMarked;
