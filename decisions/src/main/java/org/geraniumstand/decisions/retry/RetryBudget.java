package org.geraniumstand.decisions.retry;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/** Limits the retries of a service to a percentage of its successful requests. */
@Decision(
        name = "retry-budget",
        summary =
                "Retries are limited to a percentage of the successful requests plus a small minimum, so that failures"
                        + " cannot multiply the load; requests that fail together with their server cost one retry.")
public final class RetryBudget {
    /** Cost of a retry, in hundredths of a retry. */
    private static final long RETRY_COST = 100;

    private static final long MAX_BALANCE = 50 * RETRY_COST;
    private static final long MIN_BALANCE = 5 * RETRY_COST;
    private static final long REFILL_INTERVAL_MILLIS = 10_000;

    /**
     * Time within which broken connections to one server count as a single failure of the server, in milliseconds; a
     * crash resets all connections at once.
     */
    private static final long SERVER_FAILURE_WINDOW_MILLIS = 100;

    /** Available retries, in hundredths of a retry. */
    private long balance = MIN_BALANCE;

    private Timestamp refilledAt;
    private final Map<ServerId, Timestamp> serverFailures = new HashMap<>();

    /**
     * Adds the retries that a successful request earns.
     *
     * @param percent retries allowed per hundred successful requests
     */
    public void onSuccess(int percent) {
        balance = Math.min(MAX_BALANCE, balance + percent);
    }

    /**
     * Spends a retry, or returns false if none is available.
     *
     * @param now the current time
     */
    public boolean spend(Timestamp now) {
        refill(now);
        if (balance < RETRY_COST) {
            return false;
        }
        balance -= RETRY_COST;
        return true;
    }

    /**
     * Spends a retry for a request whose connection broke, or returns false if none is available. Requests whose
     * connections break together because their server failed cost one retry in total.
     *
     * <p>The retries after a server failure are bounded by the number of requests that were in flight at the server. A
     * server that continues to break connections is charged again after a short time, so that retries stay bounded.
     *
     * @param server the server to which the connection broke
     * @param now the current time
     */
    public boolean spendForBrokenConnection(ServerId server, Timestamp now) {
        serverFailures.values().removeIf(at -> now.millisSince(at) >= SERVER_FAILURE_WINDOW_MILLIS);
        if (serverFailures.containsKey(server)) {
            return true;
        }
        if (!spend(now)) {
            return false;
        }
        serverFailures.put(server, now);
        return true;
    }

    private void refill(Timestamp now) {
        if (refilledAt == null) {
            refilledAt = now;
        }
        long retries = now.millisSince(refilledAt) / REFILL_INTERVAL_MILLIS;
        if (retries > 0) {
            refilledAt = now;
            balance = Math.max(balance, Math.min(MIN_BALANCE, balance + retries * RETRY_COST));
        }
    }
}
