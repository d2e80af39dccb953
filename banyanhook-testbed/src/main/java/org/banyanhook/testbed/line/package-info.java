/**
 * Stand-ins for the users' platform: its key-value store, its database members, which use a line-based text protocol,
 * and its promotion call.
 */
@NullMarked
package org.banyanhook.testbed.line;

import org.jspecify.annotations.NullMarked;
