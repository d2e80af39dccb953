package org.banyanhook.daemon.execution;

import org.banyanhook.daemon.backend.LeasedConnection;

/**
 * A transaction and the connection that it owns from its begin to its end.
 *
 * @param connection the connection, used by this transaction only
 * @param choice the member and the term in which the transaction began
 * @param writes true if its statements may change data
 */
record OpenTransaction(LeasedConnection connection, MemberChoice choice, boolean writes) {}
