package org.geraniumstand.proofs.moves;

/** Models the failures and the slowdown of a version relative to a healthy version. */
@FunctionalInterface
interface Behaviour {
    /** A version without faults. */
    Behaviour HEALTHY = (_millis, _route, _load) -> Effect.NONE;

    /**
     * Returns the effect of the version on a request.
     *
     * @param millis milliseconds since the start of the move
     * @param route the request's route
     * @param load requests in flight at the server as a fraction of its warm concurrency
     */
    Effect effectOn(long millis, String route, double load);

    /**
     * Describes the effect of a version on one request.
     *
     * @param failure probability that the request fails
     * @param slowdown factor by which its latency is multiplied
     */
    record Effect(double failure, double slowdown) {
        static final Effect NONE = new Effect(0, 1);

        boolean bad() {
            return failure > 0 || slowdown > 1;
        }
    }

    static Behaviour failing(double rate) {
        return (_millis, _route, _load) -> new Effect(rate, 1);
    }

    static Behaviour failingAfter(long startMillis, double rate) {
        return (millis, _route, _load) -> millis < startMillis ? Effect.NONE : new Effect(rate, 1);
    }

    static Behaviour slow(double factor) {
        return (_millis, _route, _load) -> new Effect(0, factor);
    }

    static Behaviour slowUnderLoad(double limit, double factor) {
        return (_millis, _route, load) -> load < limit ? Effect.NONE : new Effect(0, factor);
    }

    static Behaviour failingOn(String faultyRoute, double rate) {
        return (_millis, route, _load) -> route.equals(faultyRoute) ? new Effect(rate, 1) : Effect.NONE;
    }
}
