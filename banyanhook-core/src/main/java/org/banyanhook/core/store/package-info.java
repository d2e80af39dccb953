/** The order of changes of the platform's record store. */
@NullMarked
package org.banyanhook.core.store;

import org.jspecify.annotations.NullMarked;
