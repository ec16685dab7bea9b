package org.geraniumstand.http.caller;

import java.util.List;

/**
 * A stream as far as it was relayed, with all that another process needs to go on with it.
 *
 * @param team the caller's team
 * @param callerRequestId the caller's name for the request
 * @param path the request path
 * @param body the caller's request body, JSON text
 * @param generated the text generated so far
 * @param tokens tokens generated so far
 * @param lastEventId id of the last event relayed
 * @param remainingMillis how much longer the caller waits, in milliseconds
 * @param recentEvents data of the latest events, the one with {@code lastEventId} last
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
    /** Copies the list. */
    public StreamSnapshot {
        recentEvents = List.copyOf(recentEvents);
    }
}
