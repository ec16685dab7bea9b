package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Returns a data centre to service. */
@Parameters(commandDescription = "Return a data centre to service")
public final class DataCentreInCommand implements Command {
    @Parameter(description = "DATA-CENTRE", required = true)
    private String dataCentre;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        return options.submit(console, "POST", "/v1/data-centres/" + UrlPaths.encodeSegment(dataCentre) + "/in", null);
    }

    @Override
    public String example() {
        return "geraniumctl data-centre in west-1";
    }
}
