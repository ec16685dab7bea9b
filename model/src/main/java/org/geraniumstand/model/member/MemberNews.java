package org.geraniumstand.model.member;

/**
 * A statement about a member that spreads from process to process.
 *
 * @param member the member
 * @param beat counts the member's own statements; only the member raises it
 * @param state what is said about it
 */
public record MemberNews(Member member, long beat, MemberState state) {
    /**
     * Tells whether this statement replaces another about the same member.
     *
     * @param other the other statement
     */
    public boolean replaces(MemberNews other) {
        if (other.state == MemberState.LEFT) {
            return false;
        }
        return state == MemberState.LEFT
                || beat > other.beat
                || (beat == other.beat && state.compareTo(other.state) > 0);
    }
}
