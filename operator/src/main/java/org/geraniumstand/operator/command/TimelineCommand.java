package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.EventReader;
import org.geraniumstand.operator.text.TimelineHtml;
import org.geraniumstand.operator.text.TimelineText;

/** Prints the events of all entry processes in order of time. */
@Parameters(commandDescription = "Show the events of all entry processes in order of time, as text or as an HTML page")
public final class TimelineCommand implements Command {
    @Parameter(names = "--html", description = "Write the events to this file, as one self-contained HTML page")
    private String html;

    @Parameter(
            names = "--since",
            description = "Omit earlier events: a duration before now such as 15m, or a time such as"
                    + " 2026-12-04T05:00:00Z")
    private String since;

    @Parameter(names = "--requests", description = "Include requests that were neither refused nor retried")
    private boolean requests;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        Optional<Instant> start =
                since == null ? Optional.of(Instant.EPOCH) : TimeParser.parsePast(since, Instant.now());
        if (start.isEmpty()) {
            console.printError("--since expects 90s, 30m, 2h or 2026-12-04T05:00:00Z, but got " + since + ".");
            return ExitCode.USAGE;
        }
        String path = "/v1/timeline?since=" + start.get().toEpochMilli() + "&requests=" + requests;
        return connection.withClient(
                console,
                client -> EventReader.read(client, path, console)
                        .fold(events -> print(console, events), error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl timeline --since 15m --html night.html";
    }

    private ExitCode print(Console console, List<TimelineEvent> events) {
        if (html == null) {
            events.forEach(event -> console.print(TimelineText.line(event)));
            return ExitCode.DONE;
        }
        try {
            Files.writeString(Path.of(html), TimelineHtml.page(events));
        } catch (IOException _e) {
            console.printError("The file " + html + " cannot be written.");
            return ExitCode.USAGE;
        }
        console.print("Wrote " + events.size() + " events to " + html + ".");
        return ExitCode.DONE;
    }
}
