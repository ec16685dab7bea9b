package org.geraniumstand.decisions.membership;

import org.geraniumstand.decisions.Decision;

/** Decides whether a received configuration document replaces the one in force. */
@Decision(
        name = "configuration-acceptance",
        summary = "A configuration replaces the one in force only if its generation is higher and this process"
                + " supports its level.")
public final class ConfigurationAcceptance {
    /** Generation that represents the absence of a document. */
    public static final long NONE = -1;

    private ConfigurationAcceptance() {}

    /**
     * Compares a received document with the one in force.
     *
     * @param inForce the document in force; its generation is {@link #NONE} without one
     * @param candidate the received document
     * @param ownLevel protocol level of this process
     */
    public static Verdict evaluate(Version inForce, Version candidate, int ownLevel) {
        if (candidate.generation() < inForce.generation()) {
            return Verdict.OLDER;
        }
        if (candidate.generation() == inForce.generation()) {
            return candidate.checksum() == inForce.checksum() ? Verdict.SAME : Verdict.CONFLICT;
        }
        return candidate.requiredLevel() > ownLevel ? Verdict.LEVEL_TOO_HIGH : Verdict.APPLY;
    }

    /**
     * Holds the properties that distinguish documents.
     *
     * @param generation the generation
     * @param checksum checksum of the text
     * @param requiredLevel lowest protocol level that a process needs to apply the document
     */
    public record Version(long generation, long checksum, int requiredLevel) {
        /** Represents the absence of a document. */
        public static final Version ABSENT = new Version(NONE, 0, 0);
    }

    /** Represents the result for a received document. */
    public enum Verdict {
        /** The document replaces the one in force. */
        APPLY,
        /** The document is already in force, which confirms it. */
        SAME,
        /** The document is older than the one in force and is ignored. */
        OLDER,
        /** The document has the generation of the one in force but different contents; it is reported and ignored. */
        CONFLICT,
        /** The document requires a newer process; it is ignored and this process is not ready. */
        LEVEL_TOO_HIGH
    }
}
