package org.geraniumstand.peer;

/**
 * A stream of a caller, as far as it was relayed.
 *
 * @param team the caller's team
 * @param callerRequestId the caller's name for the request
 * @param path the request path
 * @param body the caller's request body, JSON text
 * @param generated the text generated so far
 * @param tokens tokens generated so far
 * @param lastEventId id of the last event relayed
 * @param remainingMillis how much longer the caller waits, in milliseconds
 */
public record StreamState(
        String team,
        String callerRequestId,
        String path,
        String body,
        String generated,
        int tokens,
        int lastEventId,
        long remainingMillis) {}
