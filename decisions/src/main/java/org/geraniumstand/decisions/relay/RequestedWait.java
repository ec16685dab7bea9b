package org.geraniumstand.decisions.relay;

/**
 * Describes how long the queued calls of a service have to wait at the request of its servers.
 *
 * @param firstMillis time until a server accepts the first call, in milliseconds
 * @param perSecond calls that the servers accept from this process per second, infinite if a server has no limit
 */
record RequestedWait(long firstMillis, double perSecond) {
    static final RequestedWait NONE = new RequestedWait(0, Double.POSITIVE_INFINITY);

    /** Assumed wait of a process without a share of any limit, in milliseconds; demand is averaged over seconds. */
    static final long NO_SHARE_MILLIS = 10_000;

    private static final double MILLIS_IN_SECOND = 1e3;

    /** Returns the time until a call is accepted that has the given number of calls ahead of it, in milliseconds. */
    long millis(int ahead) {
        return ahead == 0
                ? firstMillis
                : firstMillis + (long) Math.min(Integer.MAX_VALUE, ahead / perSecond * MILLIS_IN_SECOND);
    }
}
