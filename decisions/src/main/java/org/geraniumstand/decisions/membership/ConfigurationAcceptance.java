package org.geraniumstand.decisions.membership;

import org.geraniumstand.decisions.Decision;

/** Decides what becomes of a configuration document that reached a process. */
@Decision(
        name = "configuration-acceptance",
        summary = "Only a higher generation that this process is new enough for replaces the one in force.")
public final class ConfigurationAcceptance {
    /** Generation that stands for no document. */
    public static final long NONE = -1;

    private ConfigurationAcceptance() {}

    /**
     * Judges a document.
     *
     * @param inForce the document in force; its generation is {@link #NONE} without one
     * @param candidate the document that arrived
     * @param ownLevel protocol level of this process
     */
    public static Verdict judge(Version inForce, Version candidate, int ownLevel) {
        if (candidate.generation() < inForce.generation()) {
            return Verdict.OLDER;
        }
        if (candidate.generation() == inForce.generation()) {
            return candidate.checksum() == inForce.checksum() ? Verdict.SAME : Verdict.CONFLICT;
        }
        return candidate.requiredLevel() > ownLevel ? Verdict.LEVEL_TOO_HIGH : Verdict.APPLY;
    }

    /**
     * What tells documents apart.
     *
     * @param generation the generation
     * @param checksum checksum of the text
     * @param requiredLevel lowest protocol level that may apply it
     */
    public record Version(long generation, long checksum, int requiredLevel) {
        /** Stands for no document. */
        public static final Version ABSENT = new Version(NONE, 0, 0);
    }

    /** What becomes of the document. */
    public enum Verdict {
        /** It comes into force. */
        APPLY,
        /** It is in force already, which confirms it. */
        SAME,
        /** It is older than the one in force and ignored. */
        OLDER,
        /** It has the generation of the one in force but other contents; it is reported and ignored. */
        CONFLICT,
        /** It needs a newer process; it is ignored and this process is not ready. */
        LEVEL_TOO_HIGH
    }
}
