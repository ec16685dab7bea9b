package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.Fleet;
import org.geraniumstand.operator.client.OperatorClient;
import org.geraniumstand.operator.text.StatusText;
import org.geraniumstand.support.json.Json;

/** Shows members, backend servers, moves, data centres and teams. */
@Parameters(commandDescription = "Show members, backend servers, moves, data centres and teams")
public final class StatusCommand implements Command {
    private static final long WATCH_MILLIS = 1_000;

    @Parameter(names = "--json", description = "Print the status of each entry process as JSON, one a line")
    private boolean json;

    @Parameter(names = "--watch", description = "Print it again every second until interrupted")
    private boolean watch;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.with(console, client -> {
            ExitCode code = print(console, client);
            while (watch && pause()) {
                code = print(console, client);
            }
            return code;
        });
    }

    @Override
    public String example() {
        return "geraniumctl status --watch";
    }

    private ExitCode print(Console console, OperatorClient client) {
        Fleet fleet = Fleet.find(client);
        fleet.unreachable().forEach((_entry, message) -> console.complain(message));
        if (fleet.reports().isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (json) {
            fleet.reports().values().stream().map(Json::write).forEach(console::print);
        } else {
            console.print(StatusText.of(fleet));
        }
        return ExitCode.DONE;
    }

    private static boolean pause() {
        try {
            Thread.sleep(WATCH_MILLIS);
            return true;
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
