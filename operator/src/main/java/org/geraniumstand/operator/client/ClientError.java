package org.geraniumstand.operator.client;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/**
 * Why a call to the entry processes brought no result.
 *
 * @param exit the exit code that tells it to scripts
 * @param message what happened, in one sentence
 * @param findings what is wrong with the configuration, entry by entry
 */
public record ClientError(ExitCode exit, String message, List<ConfigurationFinding> findings) {
    /** Copies the list. */
    public ClientError {
        findings = List.copyOf(findings);
    }

    /**
     * Returns an error without findings.
     *
     * @param exit the exit code that tells it to scripts
     * @param message what happened, in one sentence
     */
    public static ClientError of(ExitCode exit, String message) {
        return new ClientError(exit, message, List.of());
    }

    /**
     * Prints the error and returns its exit code.
     *
     * @param console where to print
     */
    public ExitCode report(Console console) {
        console.complain(message);
        findings.forEach(finding -> console.complain("  " + line(finding)));
        return exit;
    }

    /**
     * Returns a finding as one line.
     *
     * @param finding the finding
     */
    public static String line(ConfigurationFinding finding) {
        return finding.severity() + " " + finding.path() + ": " + finding.message();
    }
}
