/** Session tokens, which give a caller read-your-writes on any entry VM. */
@NullMarked
package org.banyanhook.core.session;

import org.jspecify.annotations.NullMarked;
