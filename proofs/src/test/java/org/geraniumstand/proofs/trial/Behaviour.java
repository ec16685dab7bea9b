package org.geraniumstand.proofs.trial;

import org.geraniumstand.model.id.RouteId;

/** How a fake backend server's version behaves; the methods take how long the server has run, in milliseconds. */
public interface Behaviour {
    /** A version without faults. */
    Behaviour GOOD = new Behaviour() {};

    /**
     * Returns by how much the server is slower than it should be.
     *
     * @param batch requests that share it
     * @param aliveMillis how long it has run
     */
    default double slowness(int batch, double aliveMillis) {
        return 1;
    }

    /**
     * Returns which part of the requests of a route fails, from 0 to 1.
     *
     * @param route the route
     * @param batch requests that share the server
     * @param aliveMillis how long the server has run
     */
    default double failing(RouteId route, int batch, double aliveMillis) {
        return 0;
    }

    /**
     * Returns whether the server takes requests and never answers.
     *
     * @param aliveMillis how long it has run
     */
    default boolean silent(double aliveMillis) {
        return false;
    }

    /**
     * Returns a version that fails a part of its requests from some time on.
     *
     * @param part which part, from 0 to 1
     * @param fromMillis from when on
     */
    static Behaviour failing(double part, double fromMillis) {
        return new Behaviour() {
            @Override
            public double failing(RouteId _route, int _batch, double aliveMillis) {
                return aliveMillis >= fromMillis ? part : 0;
            }
        };
    }

    /**
     * Returns a version that fails a part of the requests of one route.
     *
     * @param part which part, from 0 to 1
     * @param bad the route
     */
    static Behaviour failingOn(double part, RouteId bad) {
        return new Behaviour() {
            @Override
            public double failing(RouteId route, int _batch, double _aliveMillis) {
                return route.equals(bad) ? part : 0;
            }
        };
    }

    /**
     * Returns a version that is slower than it should be once many requests share it.
     *
     * @param factor by how much
     * @param fromBatch from how many requests on
     * @param fromMillis from when on
     */
    static Behaviour slow(double factor, int fromBatch, double fromMillis) {
        return new Behaviour() {
            @Override
            public double slowness(int batch, double aliveMillis) {
                return batch >= fromBatch && aliveMillis >= fromMillis ? factor : 1;
            }
        };
    }

    /**
     * Returns a server that falls silent for a while.
     *
     * @param fromMillis from when on
     * @param untilMillis until when
     */
    static Behaviour silent(double fromMillis, double untilMillis) {
        return new Behaviour() {
            @Override
            public boolean silent(double aliveMillis) {
                return aliveMillis >= fromMillis && aliveMillis < untilMillis;
            }
        };
    }
}
