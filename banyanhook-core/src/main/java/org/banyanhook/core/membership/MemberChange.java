package org.banyanhook.core.membership;

/**
 * A change of a member.
 *
 * @param member the member after the change
 * @param reason the reason for the change, for the log
 */
public record MemberChange(Member member, String reason) {}
