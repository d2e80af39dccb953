/** Transactions and the connection, home and account that each belongs to. */
@NullMarked
package org.banyanhook.core.transaction;

import org.jspecify.annotations.NullMarked;
