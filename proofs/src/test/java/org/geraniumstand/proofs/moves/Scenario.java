package org.geraniumstand.proofs.moves;

import java.util.List;

/**
 * Describes the load, the moves and the faults of a trial.
 *
 * @param lengthMillis time from the start of the moves to their deadline, in milliseconds
 * @param rate requests per second to each service
 * @param moves behaviour of the new version in each service's move
 * @param newServersCold whether the servers of the new version start cold
 * @param newServers number of servers of the new version
 * @param storeDownFromMillis start of the store outage, in milliseconds since the start, or -1 for none
 * @param storeDownUntilMillis end of the store outage, in milliseconds since the start, or -1 for none
 * @param withdrawAtMillis time at which the operator withdraws the first move, in milliseconds since the start, or
 *     -1 for never
 * @param faultsScheduled whether a data centre is taken out of service and returned, a wave of hosts is reclaimed and
 *     processes restart
 */
record Scenario(
        long lengthMillis,
        double rate,
        List<Behaviour> moves,
        boolean newServersCold,
        int newServers,
        long storeDownFromMillis,
        long storeDownUntilMillis,
        long withdrawAtMillis,
        boolean faultsScheduled) {
    static final long MINUTE = 60_000;

    private static final double REQUESTS_PER_SECOND = 20;
    private static final int SERVERS = 9;

    static Scenario of(long minutes, Behaviour... moves) {
        return new Scenario(minutes * MINUTE, REQUESTS_PER_SECOND, List.of(moves), false, SERVERS, -1, -1, -1, false);
    }

    Scenario withColdNewServers() {
        return new Scenario(
                lengthMillis,
                rate,
                moves,
                true,
                newServers,
                storeDownFromMillis,
                storeDownUntilMillis,
                withdrawAtMillis,
                faultsScheduled);
    }

    Scenario storeDown(long from, long until) {
        return new Scenario(
                lengthMillis, rate, moves, newServersCold, newServers, from, until, withdrawAtMillis, faultsScheduled);
    }

    Scenario withOperatorWithdrawalAt(long millis) {
        return new Scenario(
                lengthMillis,
                rate,
                moves,
                newServersCold,
                newServers,
                storeDownFromMillis,
                storeDownUntilMillis,
                millis,
                faultsScheduled);
    }

    Scenario withFaults() {
        return new Scenario(
                lengthMillis,
                rate,
                moves,
                newServersCold,
                newServers,
                storeDownFromMillis,
                storeDownUntilMillis,
                withdrawAtMillis,
                true);
    }

    Scenario atRate(double requestsPerSecond) {
        return new Scenario(
                lengthMillis,
                requestsPerSecond,
                moves,
                newServersCold,
                newServers,
                storeDownFromMillis,
                storeDownUntilMillis,
                withdrawAtMillis,
                faultsScheduled);
    }

    Scenario withLength(long millis) {
        return new Scenario(
                millis,
                rate,
                moves,
                newServersCold,
                newServers,
                storeDownFromMillis,
                storeDownUntilMillis,
                withdrawAtMillis,
                faultsScheduled);
    }
}
