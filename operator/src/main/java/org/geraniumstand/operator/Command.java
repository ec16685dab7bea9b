package org.geraniumstand.operator;

/** One command of operators. */
public interface Command {
    /**
     * Runs the command.
     *
     * @param console where it prints
     */
    ExitCode run(Console console);

    /** Returns a command line that shows the command's use. */
    String example();
}
