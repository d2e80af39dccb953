/** Decisions about database groups: which member is primary, which writes are confirmed, and when to promote. */
@NullMarked
package org.banyanhook.core.primary;

import org.jspecify.annotations.NullMarked;
