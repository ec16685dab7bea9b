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

/** Checks a configuration file without asking any entry process. */
@Parameters(commandDescription = "Check a configuration file; works offline and changes nothing")
public final class ConfigValidate implements Command {
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
        findings.forEach(finding -> console.complain(ClientError.line(finding)));
        boolean refused = ConfigurationChecks.hasErrors(findings);
        console.print(refused ? "The configuration breaks rules." : "The configuration is valid.");
        return refused ? ExitCode.REFUSED : ExitCode.DONE;
    }
}
