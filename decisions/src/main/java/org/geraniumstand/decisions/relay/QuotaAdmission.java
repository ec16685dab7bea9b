package org.geraniumstand.decisions.relay;

import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/** Decides whether a request may use its team's quota. */
public sealed interface QuotaAdmission {
    /** The units of the request are charged. */
    record Admitted() implements QuotaAdmission {
        static final Admitted INSTANCE = new Admitted();
    }

    /**
     * The quota does not allow the request.
     *
     * @param retryAfterMillis milliseconds after which the caller should come back
     */
    record Refused(long retryAfterMillis) implements QuotaAdmission {}

    /**
     * The decision depends on an aggregator; ask again shortly.
     *
     * @param ticket identifies the request
     */
    record Waiting(QuotaTicket ticket) implements QuotaAdmission {}

    /**
     * Returns the result of the function for the decision.
     *
     * @param admitted called if the request is admitted
     * @param refused called with the retry delay in milliseconds
     * @param waiting called with the ticket of a waiting request
     * @param <T> the result's type
     */
    default <T> T match(Supplier<T> admitted, LongFunction<T> refused, Function<QuotaTicket, T> waiting) {
        if (this instanceof Refused refusal) {
            return refused.apply(refusal.retryAfterMillis());
        }
        return this instanceof Waiting wait ? waiting.apply(wait.ticket()) : admitted.get();
    }
}
