package org.geraniumstand.operator.client;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/**
 * Describes why a command failed: a call to the entry processes, its options or a file that it reads.
 *
 * @param exitCode the exit code that the command returns
 * @param message the error message
 * @param findings the errors and warnings about single entries of the configuration
 */
public record ClientError(ExitCode exitCode, String message, List<ConfigurationFinding> findings) {
    /** Makes a defensive copy of the list. */
    public ClientError {
        findings = List.copyOf(findings);
    }

    /**
     * Returns an error without findings.
     *
     * @param exitCode the exit code that the command returns
     * @param message the error message
     */
    public static ClientError of(ExitCode exitCode, String message) {
        return new ClientError(exitCode, message, List.of());
    }

    /**
     * Prints the error and returns its exit code.
     *
     * @param console receives the error
     */
    public ExitCode report(Console console) {
        console.printError(message);
        findings.forEach(finding -> console.printError("  " + line(finding)));
        return exitCode;
    }

    /**
     * Formats a finding as one line.
     *
     * @param finding the finding
     */
    public static String line(ConfigurationFinding finding) {
        return finding.severity() + " " + finding.path() + ": " + finding.message();
    }
}
