package org.geraniumstand.http.caller;

import java.util.Optional;
import java.util.function.Consumer;

/** Finds the process that holds a handed-over stream; thread-safe. */
@FunctionalInterface
public interface HolderLookup {
    /**
     * Queries the other processes for a stream.
     *
     * @param team the id of the caller's team
     * @param callerRequestId the request id that the caller sent
     * @param callback called on any thread with the address at which the holder listens for callers, or with empty if
     *     no process answered
     */
    void find(String team, String callerRequestId, Consumer<Optional<Holder>> callback);

    /**
     * Holds the address at which a process listens for callers.
     *
     * @param address IP address
     * @param port TCP port
     */
    record Holder(String address, int port) {}
}
