package org.geraniumstand.entry.operator;

import java.util.function.Consumer;

/** Handles one kind of operator request without blocking. */
@FunctionalInterface
public interface Endpoint {
    /**
     * Handles a request.
     *
     * @param request request to handle
     * @param reply receives the response once, on any thread
     */
    void handle(OperatorRequest request, Consumer<Reply> reply);
}
