package org.banyanhook.gateway.message;

import org.banyanhook.core.replication.LogPosition;

/**
 * The status that a member reports of itself.
 *
 * @param primary whether the member reports to be the primary
 * @param term the term of the member
 * @param position the end of the log that the member has received
 */
public record MemberReport(boolean primary, long term, LogPosition position) {}
