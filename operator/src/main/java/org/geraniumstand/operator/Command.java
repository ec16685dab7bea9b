package org.geraniumstand.operator;

/** Runs one command of the operators' command line tool. */
public interface Command {
    /**
     * Runs the command.
     *
     * @param console receives the output and the error messages
     */
    ExitCode run(Console console);

    /** Returns an example command line for the help text. */
    String example();
}
