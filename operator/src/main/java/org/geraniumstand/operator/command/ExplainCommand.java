package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.EventReader;
import org.geraniumstand.operator.logs.LogLine;
import org.geraniumstand.operator.logs.RequestTrace;
import org.geraniumstand.operator.text.TimelineText;

/** Prints the events of a request and the cause of its outcome. */
@Parameters(commandDescription = "Show the events of a request at all entry processes and the cause of its outcome")
public final class ExplainCommand implements Command {
    @Parameter(description = "REQUEST", required = true)
    private String request;

    @Parameter(
            names = "--logs",
            variableArity = true,
            description = "Log files of entry processes to read instead of connecting to the processes")
    private List<String> logs = List.of();

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        if (!logs.isEmpty()) {
            return explainFromLogs(console);
        }
        return connection.withClient(
                console,
                client -> EventReader.read(client, "/v1/requests/" + UrlPaths.encodeSegment(request), console)
                        .fold(events -> print(console, events), error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl explain 3f0c-counter-17";
    }

    private ExitCode explainFromLogs(Console console) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : logs) {
            try (Stream<String> texts = Files.lines(Path.of(file))) {
                texts.flatMap(text -> LogLine.parse(file, text).stream()).forEach(lines::add);
            } catch (IOException | UncheckedIOException e) {
                console.printError(file + " cannot be read: " + e.getMessage());
                return ExitCode.REFUSED;
            }
        }
        List<String> texts = RequestTrace.explain(request, lines);
        if (texts.isEmpty()) {
            console.printError("No log line contains the request " + request + ".");
            return ExitCode.REFUSED;
        }
        texts.forEach(console::print);
        return ExitCode.DONE;
    }

    private ExitCode print(Console console, List<TimelineEvent> events) {
        if (events.isEmpty()) {
            console.printError("No entry process has events of the request " + request + ".");
            return ExitCode.REFUSED;
        }
        events.forEach(event -> console.print(TimelineText.line(event)));
        return ExitCode.DONE;
    }
}
