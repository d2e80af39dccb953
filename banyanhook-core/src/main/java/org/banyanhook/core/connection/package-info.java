/** Selection and retirement of the connections to a backend server. */
@NullMarked
package org.banyanhook.core.connection;

import org.jspecify.annotations.NullMarked;
