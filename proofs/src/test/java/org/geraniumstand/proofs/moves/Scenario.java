package org.geraniumstand.proofs.moves;

import java.util.List;

/**
 * What a trial goes through.
 *
 * @param lengthMillis time from the start of the moves to their deadline, in milliseconds
 * @param rate requests a second of each service
 * @param moves how the new version of each service's move behaves
 * @param coldNew whether the new version's servers start cold
 * @param newServers servers of the new version
 * @param storeOutFrom when the store goes out, in milliseconds since the start, or -1
 * @param storeOutUntil when it comes back
 * @param withdrawAt when the operator withdraws the first move, in milliseconds since the start, or -1
 * @param disturbed whether a data centre goes out and comes back, a wave of reclaims passes and processes restart
 */
record Scenario(
        long lengthMillis,
        double rate,
        List<Behaviour> moves,
        boolean coldNew,
        int newServers,
        long storeOutFrom,
        long storeOutUntil,
        long withdrawAt,
        boolean disturbed) {
    static final long MINUTE = 60_000;

    private static final double REQUESTS_A_SECOND = 20;
    private static final int SERVERS = 9;

    static Scenario of(long minutes, Behaviour... moves) {
        return new Scenario(minutes * MINUTE, REQUESTS_A_SECOND, List.of(moves), false, SERVERS, -1, -1, -1, false);
    }

    Scenario cold() {
        return new Scenario(
                lengthMillis, rate, moves, true, newServers, storeOutFrom, storeOutUntil, withdrawAt, disturbed);
    }

    Scenario storeOut(long from, long until) {
        return new Scenario(lengthMillis, rate, moves, coldNew, newServers, from, until, withdrawAt, disturbed);
    }

    Scenario withdrawnAt(long millis) {
        return new Scenario(
                lengthMillis, rate, moves, coldNew, newServers, storeOutFrom, storeOutUntil, millis, disturbed);
    }

    Scenario withDisturbance() {
        return new Scenario(
                lengthMillis, rate, moves, coldNew, newServers, storeOutFrom, storeOutUntil, withdrawAt, true);
    }

    Scenario atRate(double requestsPerSecond) {
        return new Scenario(
                lengthMillis,
                requestsPerSecond,
                moves,
                coldNew,
                newServers,
                storeOutFrom,
                storeOutUntil,
                withdrawAt,
                disturbed);
    }

    Scenario withLength(long millis) {
        return new Scenario(
                millis, rate, moves, coldNew, newServers, storeOutFrom, storeOutUntil, withdrawAt, disturbed);
    }
}
