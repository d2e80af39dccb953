package org.banyanhook.core.membership;

/**
 * A decision about a member.
 *
 * @param member the member as it is believed to be from now on
 * @param reason why, for the log line
 */
public record MemberChange(Member member, String reason) {}
