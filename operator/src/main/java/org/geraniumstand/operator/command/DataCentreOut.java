package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Takes a data centre out. */
@Parameters(commandDescription = "Take a data centre out; it receives no new work")
public final class DataCentreOut implements Command {
    @Parameter(description = "DATA-CENTRE", required = true)
    private String dataCentre;

    @Parameter(names = "--force", description = "Take it out even if no data centre remains")
    private boolean force;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        String path = "/v1/data-centres/" + Paths.segment(dataCentre) + "/out?force=" + force;
        return options.change(console, "POST", path, null);
    }

    @Override
    public String example() {
        return "geraniumctl data-centre out west-1";
    }
}
