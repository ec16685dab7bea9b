package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.geraniumstand.decisions.configuration.CheckContext;
import org.geraniumstand.decisions.configuration.ConfigurationChecks;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ClientError;

/** Validates a configuration file without connecting to an entry process. */
@Parameters(commandDescription = "Validate a configuration file offline, without changing anything")
public final class ConfigValidateCommand implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public ExitCode run(Console console) {
        return ConfigurationFile.read(file).fold(document -> check(console, document), error -> error.report(console));
    }

    @Override
    public String example() {
        return "geraniumctl config validate winter.yaml";
    }

    private static ExitCode check(Console console, Configuration document) {
        List<ConfigurationFinding> findings =
                ConfigurationChecks.check(document, CheckContext.standalone(System.currentTimeMillis()));
        findings.forEach(finding -> console.printError(ClientError.line(finding)));
        boolean invalid = ConfigurationChecks.hasErrors(findings);
        console.print(invalid ? "The configuration is invalid." : "The configuration is valid.");
        return invalid ? ExitCode.REFUSED : ExitCode.DONE;
    }
}
