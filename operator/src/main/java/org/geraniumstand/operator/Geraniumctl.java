package org.geraniumstand.operator;

import java.util.List;
import org.geraniumstand.support.log.LogSetup;

/** Binary {@code geraniumctl}: the operators' commands. */
public final class Geraniumctl {
    private Geraniumctl() {}

    /**
     * Runs a command.
     *
     * @param args the command line
     */
    @SuppressWarnings("SystemOut") // A command line program answers on standard output.
    public static void main(String[] args) {
        LogSetup.forCommand();
        Console console = new Console(System.out, System.err);
        System.exit(new CommandLine().run(List.of(args), console).code());
    }
}
