package org.geraniumstand.operator;

/** Reports the outcome of a command to scripts. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command was refused and changed nothing. */
    REFUSED(1),
    /** The command line or a file is invalid. */
    USAGE(2),
    /** No entry process responded. */
    UNREACHABLE(3),
    /** The change was accepted, but not all members confirmed it within the wait time. */
    NOT_CONFIRMED(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
