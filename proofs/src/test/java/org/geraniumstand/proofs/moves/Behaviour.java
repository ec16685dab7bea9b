package org.geraniumstand.proofs.moves;

/** How a version behaves beside the sound one. */
@FunctionalInterface
interface Behaviour {
    /** A sound version. */
    Behaviour SOUND = (_millis, _route, _load) -> Effect.NONE;

    /**
     * Returns the effect on a request.
     *
     * @param millis milliseconds since the start of the move
     * @param route the request's route
     * @param load requests in flight at the server as a part of what it can bear
     */
    Effect on(long millis, String route, double load);

    /**
     * What a version does to a request.
     *
     * @param failure probability that it fails
     * @param slowdown factor of its latency
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

    static Behaviour failingOn(String bad, double rate) {
        return (_millis, route, _load) -> route.equals(bad) ? new Effect(rate, 1) : Effect.NONE;
    }
}
