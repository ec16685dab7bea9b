package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.relay.RelayService;

/** Decides how many further calls a server has room for. */
final class ServerRoom {
    /**
     * Calls that may queue at an engine, as a fraction of its slots: the engine fills a free slot at once, whereas the
     * processes learn of it only after some 400 ms.
     */
    private static final double ENGINE_QUEUE_SHARE = 0.6;

    /** Requests that may queue at a plain server beyond its slots and still start in time. */
    private static final int PLAIN_QUEUE_LENGTH = 6;

    /**
     * Returns for how many further calls a server has room, negative if it has too many.
     *
     * @param view the server
     * @param service its service
     * @param nowNanos the monotonic time in nanoseconds
     */
    int spareCapacity(ServerView view, RelayService service, long nowNanos) {
        int slots = view.server().slots();
        int limit = slots
                + (service.engineCapacity().isPresent() ? (int) (slots * ENGINE_QUEUE_SHARE) : PLAIN_QUEUE_LENGTH);
        return limit - view.occupiedSlots(nowNanos);
    }
}
