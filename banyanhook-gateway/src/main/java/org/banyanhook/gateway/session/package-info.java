/** Sessions of callers, with their values, prepared statements and transactions, and the execution of statements. */
@NullMarked
package org.banyanhook.gateway.session;

import org.jspecify.annotations.NullMarked;
