package org.banyanhook.daemon.execution;

import org.banyanhook.daemon.backend.LeasedConnection;

/**
 * A transaction and the connection that it owns from its begin to its end.
 *
 * @param connection the connection, leased for nothing else
 * @param choice the member and the term
 * @param writes true if its statements may change data
 */
record OpenTransaction(LeasedConnection connection, MemberChoice choice, boolean writes) {}
