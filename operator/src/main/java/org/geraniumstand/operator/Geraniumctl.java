package org.geraniumstand.operator;

import java.util.List;
import org.geraniumstand.support.log.LogSetup;

/** Starts {@code geraniumctl}, the operators' command line tool. */
public final class Geraniumctl {
    private Geraniumctl() {}

    /**
     * Runs a command and exits with its exit status.
     *
     * @param args the command line arguments
     */
    @SuppressWarnings("SystemOut") // A command line program prints its results to standard output.
    public static void main(String[] args) {
        LogSetup.configureForCommand();
        Console console = new Console(System.out, System.err);
        System.exit(new CommandLine().run(List.of(args), console).code());
    }
}
