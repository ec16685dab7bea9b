package org.geraniumstand.http.caller;

import java.util.Optional;
import java.util.function.Consumer;

/** Finds the process that holds a handed-over stream; safe for many threads. */
@FunctionalInterface
public interface HolderLookup {
    /**
     * Asks the other processes.
     *
     * @param team the caller's team
     * @param callerRequestId the caller's name for the request
     * @param callback told where the holder listens for callers, or nothing if no process answered; on any thread
     */
    void find(String team, String callerRequestId, Consumer<Optional<Holder>> callback);

    /**
     * Where a process listens for callers.
     *
     * @param address IP number
     * @param port port
     */
    record Holder(String address, int port) {}
}
