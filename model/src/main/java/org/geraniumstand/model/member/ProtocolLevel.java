package org.geraniumstand.model.member;

/** Defines the protocol level of this build, which is raised with each change that older processes must not ignore. */
public final class ProtocolLevel {
    /** Protocol level that this build supports. */
    public static final int CURRENT = 1;

    private ProtocolLevel() {}
}
