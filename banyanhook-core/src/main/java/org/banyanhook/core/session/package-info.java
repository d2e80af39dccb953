/** Session tokens, which provide read-your-writes consistency on any entry VM. */
@NullMarked
package org.banyanhook.core.session;

import org.jspecify.annotations.NullMarked;
