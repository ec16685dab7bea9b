package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.time.Timestamp;

/**
 * Describes what a call needs of the server that is to serve it.
 *
 * @param uncachedTokens expected number of prompt tokens that the server has to process
 * @param heldTokens tokens of memory that the call takes until its answer is complete, of its prompt and answer
 * @param waitMillis how long the call can wait for the beginning of its answer and still be of full use, in milliseconds; zero
 *     or less if it is late already
 * @param targetMillis the latency target of calls of its route, in milliseconds
 */
record CallNeeds(double uncachedTokens, long heldTokens, long waitMillis, long targetMillis) {
    /** Returns what a call needs at a server at which some tokens of its prompt aren't cached. */
    static CallNeeds of(RelayCall call, double uncachedTokens, long nowNanos) {
        long waitedMillis = (nowNanos - call.arrivedNanos()) / Timestamp.NANOS_PER_MILLI;
        return new CallNeeds(
                uncachedTokens,
                heldTokens(call),
                call.route().targetMillis() - waitedMillis,
                call.route().targetMillis());
    }

    /** Returns the tokens of memory that a call takes at a server. */
    static long heldTokens(RelayCall call) {
        return (long) call.head().promptTokens() + call.head().answerTokens();
    }
}
