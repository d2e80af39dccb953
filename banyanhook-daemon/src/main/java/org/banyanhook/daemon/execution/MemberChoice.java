package org.banyanhook.daemon.execution;

import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;

/**
 * The member chosen to execute a statement.
 *
 * @param database the database group
 * @param member the backend server
 * @param term the term that the request carries
 * @param replica true if the member is chosen as a replica
 * @param reason why the member was chosen, for the log
 */
record MemberChoice(Database database, BackendServer member, long term, boolean replica, String reason) {}
