/** Granted and withdrawn keys of client accounts. */
@NullMarked
package org.banyanhook.core.key;

import org.jspecify.annotations.NullMarked;
