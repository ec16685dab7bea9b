package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.relay.RelayService;

/** Estimates when a call would start at a server. */
final class ExpectedStart {
    /**
     * Returns the expected milliseconds until the call's answer begins at a server, from what this process and the server's
     * answers to it tell; different processes know different things, so all servers may be compared by it.
     *
     * @param view the server
     * @param service its service
     * @param speed how fast the servers of the service work
     * @param uncachedTokens expected number of prompt tokens that miss the server's prefix cache
     * @param nowNanos the monotonic time in nanoseconds
     */
    double ownMillis(ServerView view, RelayService service, ServiceSpeed speed, double uncachedTokens, long nowNanos) {
        return millis(view, service, speed, view.pendingTokens() + 2 * uncachedTokens, view.load(nowNanos));
    }

    /**
     * Returns the expected milliseconds until the call's answer begins at a server, from what all processes know; all of
     * them hear it at once, so only servers drawn at random may be compared by it.
     *
     * @param view the server
     * @param service its service
     * @param speed how fast the servers of the service work
     * @param uncachedTokens expected number of prompt tokens that miss the server's prefix cache
     * @param nowNanos the monotonic time in nanoseconds
     */
    double sharedMillis(
            ServerView view, RelayService service, ServiceSpeed speed, double uncachedTokens, long nowNanos) {
        double tokens = view.allPendingTokens(nowNanos) + 2 * uncachedTokens;
        return view.slowness(nowNanos) * millis(view, service, speed, tokens, view.occupiedSlots(nowNanos));
    }

    /** Returns the milliseconds; uncached tokens count twice, as they delay this call and those that already run there. */
    private static double millis(ServerView view, RelayService service, ServiceSpeed speed, double tokens, int load) {
        if (service.engineCapacity().isPresent()) {
            return speed.firstTokenMillis()
                    + tokens * speed.prefillMillisPerToken()
                    + load * speed.runningRequestMillis();
        }
        int ahead = Math.max(0, load + 1 - view.server().slots());
        return (1 + ahead + (double) load / view.server().slots()) * speed.plainCallMillis();
    }
}
