/** Stand-ins for the users' platform: its key-value store, its members that speak lines, and its promote call. */
@NullMarked
package org.banyanhook.testbed.line;

import org.jspecify.annotations.NullMarked;
