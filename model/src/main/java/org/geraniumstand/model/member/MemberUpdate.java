package org.geraniumstand.model.member;

/**
 * Carries the state of a member, which processes spread by gossip.
 *
 * @param member the member
 * @param incarnation incarnation number of the member, which only the member itself increments
 * @param state the reported state of the member
 */
public record MemberUpdate(Member member, long incarnation, MemberState state) {
    /**
     * Returns whether this update supersedes another one about the same member.
     *
     * @param other the other update
     */
    public boolean supersedes(MemberUpdate other) {
        if (other.state == MemberState.LEFT) {
            return false;
        }
        return state == MemberState.LEFT
                || incarnation > other.incarnation
                || (incarnation == other.incarnation && state.compareTo(other.state) > 0);
    }
}
