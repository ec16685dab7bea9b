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

    /** Fraction of its time that a call waits for its turn at a limit; the rest is left for its caller to try again. */
    private static final double MAX_WAIT_AT_LIMIT = 0.4;

    private static final double MILLIS_IN_SECOND = 1e3;

    /** Returns the time until a call is accepted that has the given number of calls ahead of it, in milliseconds. */
    long millis(int ahead) {
        return ahead == 0
                ? firstMillis
                : firstMillis + (long) Math.min(Integer.MAX_VALUE, ahead / perSecond * MILLIS_IN_SECOND);
    }

    /**
     * Returns whether a call has to wait for too long.
     *
     * @param ahead number of calls ahead of it
     * @param totalMillis time from its arrival to its deadline, in milliseconds
     * @param remainingMillis time until its deadline, in milliseconds
     */
    boolean isTooLong(int ahead, long totalMillis, long remainingMillis) {
        boolean limited = Double.isFinite(perSecond);
        double reservedMillis = limited ? totalMillis * (1 - MAX_WAIT_AT_LIMIT) : 0;
        return millis(ahead) > remainingMillis - reservedMillis;
    }
}
