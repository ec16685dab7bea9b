package org.geraniumstand.proofs.trial;

import org.geraniumstand.model.id.RouteId;

/** Models the faults of a simulated backend server's version as functions of the uptime of the server. */
public interface Behaviour {
    /** A version without faults. */
    Behaviour HEALTHY = new Behaviour() {};

    /**
     * Returns the factor by which the server is slower than a healthy one.
     *
     * @param batch number of requests in the batch of the server
     * @param uptimeMillis uptime of the server, in milliseconds
     */
    default double slowdown(int batch, double uptimeMillis) {
        return 1;
    }

    /**
     * Returns the fraction of the requests of a route that fail, from 0 to 1.
     *
     * @param route route of the request
     * @param batch number of requests in the batch of the server
     * @param uptimeMillis uptime of the server, in milliseconds
     */
    default double failing(RouteId route, int batch, double uptimeMillis) {
        return 0;
    }

    /**
     * Returns whether the server accepts requests without answering them.
     *
     * @param uptimeMillis uptime of the server, in milliseconds
     */
    default boolean unresponsive(double uptimeMillis) {
        return false;
    }

    /**
     * Returns a version that fails a fraction of its requests after a given uptime.
     *
     * @param fraction fraction of the requests that fail, from 0 to 1
     * @param fromMillis uptime from which requests fail, in milliseconds
     */
    static Behaviour failing(double fraction, double fromMillis) {
        return new Behaviour() {
            @Override
            public double failing(RouteId _route, int _batch, double uptimeMillis) {
                return uptimeMillis >= fromMillis ? fraction : 0;
            }
        };
    }

    /**
     * Returns a version that fails a fraction of the requests of one route.
     *
     * @param fraction fraction of the requests that fail, from 0 to 1
     * @param faultyRoute route whose requests fail
     */
    static Behaviour failingOn(double fraction, RouteId faultyRoute) {
        return new Behaviour() {
            @Override
            public double failing(RouteId route, int _batch, double _uptimeMillis) {
                return route.equals(faultyRoute) ? fraction : 0;
            }
        };
    }

    /**
     * Returns a version that is slow for large batches after a given uptime.
     *
     * @param factor factor by which the server is slower
     * @param fromBatch smallest batch that is slow, in requests
     * @param fromMillis uptime from which the server is slow, in milliseconds
     */
    static Behaviour slow(double factor, int fromBatch, double fromMillis) {
        return new Behaviour() {
            @Override
            public double slowdown(int batch, double uptimeMillis) {
                return batch >= fromBatch && uptimeMillis >= fromMillis ? factor : 1;
            }
        };
    }

    /**
     * Returns a server that is unresponsive during an interval of its uptime.
     *
     * @param fromMillis start of the interval, in milliseconds of uptime
     * @param untilMillis end of the interval, in milliseconds of uptime
     */
    static Behaviour unresponsive(double fromMillis, double untilMillis) {
        return new Behaviour() {
            @Override
            public boolean unresponsive(double uptimeMillis) {
                return uptimeMillis >= fromMillis && uptimeMillis < untilMillis;
            }
        };
    }
}
