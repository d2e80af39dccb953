/** Fair queueing of waiting requests between client accounts. */
@NullMarked
package org.banyanhook.core.admission;

import org.jspecify.annotations.NullMarked;
