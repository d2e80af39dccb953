package org.banyanhook.gateway.message;

import org.banyanhook.core.replication.LogPosition;

/**
 * A member's own report about its log.
 *
 * @param primary whether it is the primary
 * @param term the term that it is in
 * @param position the end of its log as received
 */
public record MemberReport(boolean primary, long term, LogPosition position) {}
