package org.geraniumstand.model.relay;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the head of a backend server's answer says beside its status.
 *
 * @param attempt the attempt that it answers, if it says so
 * @param signed whether it bears the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param replaced whether the answer comes from another server than the one that was named
 * @param load the server's load, if told
 * @param idleSeconds time that the connection may stay idle, in seconds, if told
 */
public record ServerAnswer(
        Optional<String> attempt,
        boolean signed,
        boolean notRun,
        boolean replaced,
        Optional<ServerLoad> load,
        OptionalInt idleSeconds) {}
