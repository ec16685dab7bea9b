package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Takes a data centre out of service. */
@Parameters(commandDescription = "Take a data centre out of service, so that it receives no new requests")
public final class DataCentreOutCommand implements Command {
    @Parameter(description = "DATA-CENTRE", required = true)
    private String dataCentre;

    @Parameter(
            names = "--force",
            description = "Take the data centre out of service even if no other remains in service")
    private boolean force;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        String path = "/v1/data-centres/" + UrlPaths.encodeSegment(dataCentre) + "/out?force=" + force;
        return options.submit(console, "POST", path, null);
    }

    @Override
    public String example() {
        return "geraniumctl data-centre out west-1";
    }
}
