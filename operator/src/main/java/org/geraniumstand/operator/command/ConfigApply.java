package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Replaces the configuration by the one in a file. */
@Parameters(commandDescription = "Replace the configuration by the one in a file")
public final class ConfigApply implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(
            names = "--expected",
            description = "Generation that the file replaces; without it the file's own generation counts, so that a"
                    + " change made meanwhile is not lost")
    private Long expected;

    @Parameter(names = "--force", description = "Accept a configuration that takes all data centres out")
    private boolean force;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        return ConfigurationFile.read(file)
                .fold(
                        document -> options.change(
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
