/** Which connection to a backend server to use, keep or retire. */
@NullMarked
package org.banyanhook.core.connection;

import org.jspecify.annotations.NullMarked;
