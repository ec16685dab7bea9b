package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.support.json.Json;

/** Prints the configuration in force. */
@Parameters(commandDescription = "Print the configuration in force, as YAML for editing")
public final class ConfigShowCommand implements Command {
    @Parameter(names = "--json", description = "Print the configuration as JSON")
    private boolean json;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.withClient(
                console,
                client -> client.get("/v1/configuration", Configuration.class)
                        .map(document -> document.withChangeTokens(""))
                        .fold(
                                document -> {
                                    console.print(
                                            (json ? Json.write(document) : ConfigurationFile.write(document)).trim());
                                    return ExitCode.DONE;
                                },
                                error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl config show > winter.yaml";
    }
}
