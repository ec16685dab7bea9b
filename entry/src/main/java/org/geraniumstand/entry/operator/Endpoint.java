package org.geraniumstand.entry.operator;

import java.util.function.Consumer;

/** Answers one kind of request of operators without blocking. */
@FunctionalInterface
public interface Endpoint {
    /**
     * Answers a request.
     *
     * @param request the request
     * @param reply told the answer once, on any thread
     */
    void handle(OperatorRequest request, Consumer<Reply> reply);
}
