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

/** Reads events from all entry processes and puts them in one order. */
public final class Events {
    private static final Comparator<TimelineEvent> ORDER = Comparator.comparing(TimelineEvent::time)
            .thenComparing(event -> event.process().value());

    private Events() {}

    /**
     * Reads events.
     *
     * @param client makes the calls
     * @param path path and query of the events
     * @param console told which entry processes did not answer
     * @return the events of all that answered, the oldest first
     */
    public static Result<List<TimelineEvent>, ClientError> read(OperatorClient client, String path, Console console) {
        Fleet fleet = Fleet.find(client);
        fleet.unreachable().forEach((_entry, message) -> console.complain(message));
        if (fleet.reports().isEmpty()) {
            return Result.err(ClientError.of(ExitCode.UNREACHABLE, "No entry process answered."));
        }
        List<TimelineEvent> events = new ArrayList<>();
        for (URI entry : fleet.reports().keySet()) {
            client.getFrom(entry, path, TimelinePage.class).fold(page -> events.addAll(page.events()), error -> {
                console.complain(error.message());
                return false;
            });
        }
        return Result.ok(events.stream().sorted(ORDER).toList());
    }
}
