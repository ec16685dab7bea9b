package org.geraniumstand.decisions.relay;

/** Holds how fast the servers of a service work. Not thread-safe. */
public final class ServiceSpeed {
    /** Milliseconds that a model engine takes to process a prompt token, until its service's speed is known. */
    private static final double TOKEN_PREFILL_MILLIS = 1 / 93.6;

    /** Milliseconds that each running request adds until the next token, until the service's speed is known. */
    private static final double RUNNING_REQUEST_MILLIS = 0.5;

    /** Milliseconds that a call takes at a plain server, until its service's speed is known. */
    private static final double PLAIN_CALL_MILLIS = 20;

    /** Creates a speed of which nothing is known yet. */
    public ServiceSpeed() {}

    /** Returns the milliseconds that an engine takes to process a prompt token that is not in its prefix cache. */
    double prefillMillisPerToken() {
        return TOKEN_PREFILL_MILLIS;
    }

    /** Returns the milliseconds by which each running request delays the first token of another one at an engine. */
    double runningRequestMillis() {
        return RUNNING_REQUEST_MILLIS;
    }

    /** Returns the milliseconds that a call takes at a plain server, without waiting. */
    double plainCallMillis() {
        return PLAIN_CALL_MILLIS;
    }
}
