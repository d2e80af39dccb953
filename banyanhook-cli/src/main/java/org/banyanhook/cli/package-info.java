/** The operators' command-line tool. */
@NullMarked
package org.banyanhook.cli;

import org.jspecify.annotations.NullMarked;
