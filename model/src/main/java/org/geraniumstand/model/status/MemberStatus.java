package org.geraniumstand.model.status;

import org.geraniumstand.model.member.Member;

/**
 * A member and the configuration in force there.
 *
 * @param member the member
 * @param generation generation in force there, or -1 without one or when it is not known
 * @param confirmationAgeMillis milliseconds since that was confirmed
 */
public record MemberStatus(Member member, long generation, long confirmationAgeMillis) {}
