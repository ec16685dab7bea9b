package org.geraniumstand.standins.load;

/**
 * What a caller was told about one request.
 *
 * @param id the caller's name for the request; an order's body carries it
 * @param kind what was asked for
 * @param key the idempotency key, or empty
 * @param verdict what the caller knows at the end
 * @param detail reason of a refusal, or what was wrong
 * @param reconnects times that a stream was taken up again
 * @param restarts times that a completion was asked for anew from its start
 * @param firstMillis milliseconds to the first byte of content, or -1 without one
 * @param totalMillis milliseconds to the end
 */
public record Told(
        String id,
        Kind kind,
        String key,
        Verdict verdict,
        String detail,
        int reconnects,
        int restarts,
        long firstMillis,
        long totalMillis) {
    /** What was asked for. */
    public enum Kind {
        /** A completion as a stream. */
        STREAM,
        /** A completion in one piece. */
        COMPLETION,
        /** An order that must run at most once. */
        ORDER
    }

    /** What a caller knows at the end. */
    public enum Verdict {
        /** The whole answer to its own request. */
        ANSWERED,
        /** It was told that the request did not run. */
        NOT_RUN,
        /** It was told that the outcome is unknown, or the connection broke. */
        UNKNOWN,
        /** It got an answer that is not its own or not whole. */
        WRONG
    }
}
