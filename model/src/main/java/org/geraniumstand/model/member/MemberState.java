package org.geraniumstand.model.member;

/**
 * State of a member; of two updates with the same incarnation number, the one with the later state supersedes the
 * other.
 */
public enum MemberState {
    /** The member is considered alive. */
    ALIVE,
    /** Some process received no message from the member in the expected time. */
    SUSPECT,
    /** The member announced its shutdown; its process id is never used again. */
    LEFT
}
