package org.geraniumstand.operator;

/** How a command ended, for scripts. */
public enum ExitCode {
    /** The command did what was asked. */
    DONE(0),
    /** The system refused it; nothing was changed. */
    REFUSED(1),
    /** The command line or a file is wrong. */
    USAGE(2),
    /** No entry process answered. */
    UNREACHABLE(3),
    /** The change is accepted, but not every member confirmed it in time. */
    NOT_CONFIRMED(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number that the process ends with. */
    public int code() {
        return code;
    }
}
