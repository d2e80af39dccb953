/** Decisions about database groups: which member is primary, what is confirmed, and when to promote. */
@NullMarked
package org.banyanhook.core.primary;

import org.jspecify.annotations.NullMarked;
