package org.geraniumstand.decisions.relay;

/**
 * Describes the rate of requests that a server accepts from all processes together.
 *
 * @param perSecond requests per second
 * @param processes number of processes that may send to the server
 * @param named whether the server has named the limit, so that the processes report their demand for it
 */
record SharedLimit(double perSecond, int processes, boolean named) {
    /** Returns the limit of a cold server. */
    static SharedLimit cold(double perSecond, int processes) {
        return new SharedLimit(perSecond, processes, false);
    }

    /** Returns the limit that a server has named. */
    static SharedLimit named(double perSecond, int processes) {
        return new SharedLimit(perSecond, processes, true);
    }
}
