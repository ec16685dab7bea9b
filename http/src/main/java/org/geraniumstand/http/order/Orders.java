package org.geraniumstand.http.order;

import java.util.function.Consumer;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;

/** Records the claims of keyed orders; safe for use by many threads. */
public interface Orders {
    /**
     * Asks whether an order may be dispatched, and waits for the answer of another request with the key.
     *
     * @param wish the wish to dispatch
     * @param deadlineNanos when the caller stops waiting, on the process's monotonic clock in nanoseconds
     * @param callback told the verdict once, on any thread; never {@link ClaimResult.Kind#IN_FLIGHT} while waiting may
     *     help
     */
    void open(ClaimChange wish, long deadlineNanos, Consumer<ClaimResult> callback);

    /**
     * Records how an order ended; tried again until the store takes it.
     *
     * @param change the end
     */
    void settle(ClaimChange change);
}
