package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Replaces the configuration with the one in a file. */
@Parameters(commandDescription = "Replace the configuration with the one in a file")
public final class ConfigApplyCommand implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(
            names = "--expected",
            description = "Generation that the file replaces; defaults to the generation in the file, so that a"
                    + " concurrent change is not overwritten")
    private Long expected;

    @Parameter(names = "--force", description = "Accept a configuration that takes all data centres out of service")
    private boolean force;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        return ConfigurationFile.read(file)
                .fold(
                        document -> options.submit(
                                console,
                                "PUT",
                                "/v1/configuration?force=" + force + "&expected="
                                        + (expected == null ? document.generation() : expected),
                                document),
                        error -> error.report(console));
    }

    @Override
    public String example() {
        return "geraniumctl config apply winter.yaml --entry 10.0.0.1:9101,10.0.0.2:9101 --token-file token";
    }
}
