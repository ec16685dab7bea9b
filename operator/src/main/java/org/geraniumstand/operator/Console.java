package org.geraniumstand.operator;

import java.io.PrintStream;

/**
 * Prints the results and the messages of commands.
 *
 * @param out receives results
 * @param err receives errors and warnings
 */
public record Console(PrintStream out, PrintStream err) {
    /**
     * Prints one line of the result.
     *
     * @param line the line
     */
    public void print(String line) {
        out.println(line);
    }

    /**
     * Prints an error or a warning.
     *
     * @param line the line
     */
    public void printError(String line) {
        err.println(line);
    }
}
