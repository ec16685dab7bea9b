package org.geraniumstand.model.member;

/** The protocol level that this build speaks; it is raised with each change that older processes must not miss. */
public final class ProtocolLevel {
    /** The level of this build. */
    public static final int CURRENT = 1;

    private ProtocolLevel() {}
}
