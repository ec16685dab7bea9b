package org.geraniumstand.model.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds the information that the relay reads from the headers of a backend server's response.
 *
 * @param attempt identifier of the answered attempt, if given
 * @param signed whether the response carries the server's signature
 * @param notExecuted whether the server states that it did not execute the request
 * @param fromOtherServer whether the response comes from a server other than the requested one
 * @param load the server's load, if given
 * @param idleSeconds time that the connection may stay idle, in seconds, if given
 * @param leaving whether the server announces that it leaves
 * @param pauseMillis time for which the server asks for no further requests, in milliseconds, if it does
 * @param limitPerSecond requests per second that the server accepts from all processes together, infinite if it names
 *     no limit; empty if the limit cannot be read
 */
public record ServerHead(
        Optional<String> attempt,
        boolean signed,
        boolean notExecuted,
        boolean fromOtherServer,
        Optional<ServerLoad> load,
        OptionalInt idleSeconds,
        boolean leaving,
        OptionalLong pauseMillis,
        OptionalDouble limitPerSecond) {
    /**
     * Returns whether the response comes from a process that is no backend server. A server signs its answers to the requests
     * that it ran, and states that it did not execute the others.
     */
    public boolean fromStranger() {
        return !signed && !notExecuted;
    }
}
