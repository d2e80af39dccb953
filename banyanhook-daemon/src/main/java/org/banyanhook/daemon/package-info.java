/** The daemon that runs on each entry VM. */
@NullMarked
package org.banyanhook.daemon;

import org.jspecify.annotations.NullMarked;
