package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.Events;
import org.geraniumstand.operator.text.TimelineText;

/** Shows what happened to a request and why. */
@Parameters(commandDescription = "Show what happened to a request, over all entry processes, and why")
public final class Explain implements Command {
    @Parameter(description = "REQUEST", required = true)
    private String request;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.with(
                console,
                client -> Events.read(client, "/v1/requests/" + Paths.segment(request), console)
                        .fold(events -> print(console, events), error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl explain 3f0c-counter-17";
    }

    private ExitCode print(Console console, List<TimelineEvent> events) {
        if (events.isEmpty()) {
            console.complain("No entry process remembers the request " + request + ".");
            return ExitCode.REFUSED;
        }
        events.forEach(event -> console.print(TimelineText.line(event)));
        return ExitCode.DONE;
    }
}
