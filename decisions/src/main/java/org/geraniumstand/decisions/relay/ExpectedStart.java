package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.relay.RelayService;

/** Estimates when a call would start at a server. */
final class ExpectedStart {
    /**
     * Returns the expected milliseconds until the call's answer begins at a server.
     *
     * @param view the server
     * @param service its service
     * @param speed how fast the servers of the service work
     * @param uncachedTokens expected number of prompt tokens that miss the server's prefix cache
     * @param nowNanos the monotonic time in nanoseconds
     */
    double millis(ServerView view, RelayService service, ServiceSpeed speed, double uncachedTokens, long nowNanos) {
        if (service.engineCapacity().isPresent()) {
            // Uncached tokens count twice: they delay this call and those that already run at the server.
            return (view.pendingTokens() + 2 * uncachedTokens) * speed.prefillMillisPerToken()
                    + view.load(nowNanos) * speed.runningRequestMillis();
        }
        int ahead = Math.max(0, view.load(nowNanos) + 1 - view.server().slots());
        return (ahead + (double) view.load(nowNanos) / view.server().slots()) * speed.plainCallMillis();
    }
}
