package org.geraniumstand.operator.client;

import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.geraniumstand.model.operation.TimelinePage;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Reads events from all entry processes and merges them by time. */
public final class EventReader {
    private static final Comparator<TimelineEvent> BY_TIME_AND_PROCESS = Comparator.comparing(TimelineEvent::time)
            .thenComparing(event -> event.process().value());

    private EventReader() {}

    /**
     * Reads the events of all entry processes that can be discovered.
     *
     * @param client sends the requests
     * @param path path and query of the events
     * @param console receives the errors of entry processes that did not respond
     * @return the events of all entry processes that responded, oldest first
     */
    public static Result<List<TimelineEvent>, ClientError> read(OperatorClient client, String path, Console console) {
        ProcessStatuses statuses = ProcessStatuses.discover(client);
        statuses.unreachable().forEach((_entry, message) -> console.printError(message));
        if (statuses.reports().isEmpty()) {
            return Result.err(ClientError.of(ExitCode.UNREACHABLE, "No entry process responded."));
        }
        List<TimelineEvent> events = new ArrayList<>();
        for (URI entry : statuses.reports().keySet()) {
            client.getFrom(entry, path, TimelinePage.class).fold(page -> events.addAll(page.events()), error -> {
                console.printError(error.message());
                return false;
            });
        }
        return Result.ok(events.stream().sorted(BY_TIME_AND_PROCESS).toList());
    }
}
