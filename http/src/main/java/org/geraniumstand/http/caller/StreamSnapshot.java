package org.geraniumstand.http.caller;

import java.util.List;

/**
 * Captures the state of a stream so that another process can continue it.
 *
 * @param team the id of the caller's team
 * @param callerRequestId the request id that the caller sent
 * @param path the request path
 * @param body the caller's request body as JSON text
 * @param generated the text that was generated so far
 * @param tokens number of tokens generated so far
 * @param lastEventId id of the last event that was relayed
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param recentEvents data of the most recent events; the last one has the id {@code lastEventId}
 */
public record StreamSnapshot(
        String team,
        String callerRequestId,
        String path,
        String body,
        String generated,
        int tokens,
        int lastEventId,
        long remainingMillis,
        List<String> recentEvents) {
    /** Copies the list of events. */
    public StreamSnapshot {
        recentEvents = List.copyOf(recentEvents);
    }
}
