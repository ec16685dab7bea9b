package org.geraniumstand.standins.load;

/**
 * Records the result of one request, as the caller observed it.
 *
 * @param id the caller's id of the request; the body of an order contains it
 * @param kind kind of the request
 * @param key the idempotency key, or empty
 * @param verdict the outcome that the caller observed
 * @param detail reason of a refusal, or description of the error; empty for a correct completion
 * @param reconnects number of times that a stream was resumed
 * @param restarts number of times that a completion was requested again from its start
 * @param firstMillis milliseconds to the first byte of content, or -1 if there was none
 * @param totalMillis milliseconds to the end of the request
 */
public record RequestResult(
        String id,
        Kind kind,
        String key,
        Verdict verdict,
        String detail,
        int reconnects,
        int restarts,
        long firstMillis,
        long totalMillis) {
    /** Names the kind of a request. */
    public enum Kind {
        /** A completion as a stream. */
        STREAM,
        /** A completion without streaming. */
        COMPLETION,
        /** An order that must be executed at most once. */
        ORDER
    }

    /** Names the outcome that a caller observed. */
    public enum Verdict {
        /** The caller received the complete response to its own request. */
        ANSWERED,
        /** The response stated that the request did not run. */
        NOT_RUN,
        /** The response stated that the outcome is unknown, or the connection broke. */
        UNKNOWN,
        /** The caller received an incomplete response or the response to another request. */
        WRONG
    }
}
