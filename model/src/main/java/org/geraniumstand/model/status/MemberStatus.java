package org.geraniumstand.model.status;

import org.geraniumstand.model.member.Member;

/**
 * Reports a member and the generation of the configuration that it applied.
 *
 * @param member the member
 * @param generation generation of the applied configuration, or -1 if there is none or it is unknown
 * @param confirmationAgeMillis milliseconds since the member confirmed the generation
 */
public record MemberStatus(Member member, long generation, long confirmationAgeMillis) {}
