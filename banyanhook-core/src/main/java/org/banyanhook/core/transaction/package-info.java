/** Transactions, and the connection, home and client account of each. */
@NullMarked
package org.banyanhook.core.transaction;

import org.jspecify.annotations.NullMarked;
