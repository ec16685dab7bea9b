package org.geraniumstand.operator;

import com.beust.jcommander.JCommander;

/** Binary {@code geraniumctl}: the operators' commands. */
public final class Geraniumctl {
    private Geraniumctl() {}

    /**
     * Runs a command.
     *
     * @param _args the command line
     */
    public static void main(String[] _args) {
        JCommander.newBuilder().programName("geraniumctl").build().usage();
    }
}
