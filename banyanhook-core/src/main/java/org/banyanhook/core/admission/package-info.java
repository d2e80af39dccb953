/** Which waiting request runs next, fairly between client accounts. */
@NullMarked
package org.banyanhook.core.admission;

import org.jspecify.annotations.NullMarked;
