package org.geraniumstand.http.order;

import java.util.function.Consumer;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;

/** Stores the claims of orders that have idempotency keys; thread-safe. */
public interface OrderClaims {
    /**
     * Requests the claim of an order, and waits while another request with the same key is in progress.
     *
     * @param change the change that opens the claim
     * @param deadlineNanos the caller's deadline on the process's monotonic clock, in nanoseconds
     * @param callback called once with the result, on any thread; never with {@link ClaimResult.Kind#IN_FLIGHT} while
     *     waiting can still change the result
     */
    void open(ClaimChange change, long deadlineNanos, Consumer<ClaimResult> callback);

    /**
     * Records the outcome of an order; retried until the store accepts it.
     *
     * @param change the change that settles the claim
     */
    void settle(ClaimChange change);
}
