package org.geraniumstand.peer;

import java.util.List;

/**
 * Holds the state of a partially relayed stream, from which another process can resume it.
 *
 * @param team the caller's team
 * @param callerRequestId the request id that the caller chose
 * @param path the request path
 * @param body the caller's request body as JSON text
 * @param generated text generated so far
 * @param tokens number of tokens generated so far
 * @param lastEventId id of the last event sent to the caller
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param recentEvents data of the most recent events in order, ending with the event {@code lastEventId}; bounded in
 *     total bytes
 */
public record StreamState(
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
    public StreamState {
        recentEvents = List.copyOf(recentEvents);
    }
}
