package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.OperatorClient;
import org.geraniumstand.operator.client.ProcessStatuses;
import org.geraniumstand.operator.text.StatusText;
import org.geraniumstand.support.json.Json;

/** Prints the status of members, backend servers, version moves, data centres and teams. */
@Parameters(commandDescription = "Show the status of members, backend servers, version moves, data centres and teams")
public final class StatusCommand implements Command {
    private static final long REFRESH_MILLIS = 1_000;

    @Parameter(names = "--json", description = "Print the status of each entry process as one line of JSON")
    private boolean json;

    @Parameter(names = "--watch", description = "Print the status every second until interrupted")
    private boolean watch;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.withClient(console, client -> {
            ExitCode exitCode = print(console, client);
            while (watch && sleep()) {
                exitCode = print(console, client);
            }
            return exitCode;
        });
    }

    @Override
    public String example() {
        return "geraniumctl status --watch";
    }

    private ExitCode print(Console console, OperatorClient client) {
        ProcessStatuses statuses = ProcessStatuses.discover(client);
        statuses.unreachable().forEach((_entry, message) -> console.printError(message));
        if (statuses.reports().isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (json) {
            statuses.reports().values().stream().map(Json::write).forEach(console::print);
        } else {
            console.print(StatusText.of(statuses));
        }
        return ExitCode.DONE;
    }

    private static boolean sleep() {
        try {
            Thread.sleep(REFRESH_MILLIS);
            return true;
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
