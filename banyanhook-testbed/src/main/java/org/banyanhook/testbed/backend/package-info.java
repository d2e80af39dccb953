/** The stand-in of a backend server, a member of a database group. */
@NullMarked
package org.banyanhook.testbed.backend;

import org.jspecify.annotations.NullMarked;
