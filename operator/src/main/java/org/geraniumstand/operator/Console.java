package org.geraniumstand.operator;

import java.io.PrintStream;

/**
 * Where commands print.
 *
 * @param out takes results
 * @param err takes errors and notes
 */
public record Console(PrintStream out, PrintStream err) {
    /**
     * Prints a line of the result.
     *
     * @param line the line
     */
    public void print(String line) {
        out.println(line);
    }

    /**
     * Prints an error or a note.
     *
     * @param line the line
     */
    public void complain(String line) {
        err.println(line);
    }
}
