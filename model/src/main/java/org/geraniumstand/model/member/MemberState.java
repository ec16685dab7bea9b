package org.geraniumstand.model.member;

/** What is said about a member; at the same count of its signs of life, a later state replaces an earlier one. */
public enum MemberState {
    /** It was heard of. */
    ALIVE,
    /** Some process expected to hear of it and did not. */
    SUSPECT,
    /** It said that it stops for good; its incarnation never returns. */
    LEFT
}
