package org.geraniumstand.decisions.relay;

import java.util.OptionalDouble;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.RelayService;

/** Decides whether a server of one service has room for a call. Not thread-safe. */
@Decision(
        name = "server-room",
        summary = "A server has room for a call while its memory holds the call and the work that waits there lets the "
                + "call's answer begin when its caller needs it; an idle server has room for any call.")
final class ServerRoom {
    /**
     * Calls that may queue at an engine, as a fraction of its slots: the engine fills a free slot at once, whereas the
     * processes learn of it only after some 400 ms.
     */
    private static final double ENGINE_QUEUE_SHARE = 0.6;

    /** Fewest requests that may queue at a plain server beyond its slots. */
    private static final int PLAIN_QUEUE_LENGTH = 6;

    /**
     * Part of a call's wait that the work known at a server may take; the rest is for work that isn't known yet, and for the
     * way of the answer.
     */
    private static final double KNOWN_WORK_SHARE = 0.6;

    /** Part of the target that work ahead of a late call may take, so that calls which come later can still be on time. */
    private static final double LATE_CALL_SHARE = 0.01;

    /**
     * Milliseconds after which little of what was known of a single engine holds: it has read by then what waited there, and
     * others have sent more.
     */
    private static final double FIGURES_HOLD_MILLIS = 150;

    /**
     * Part of a call's target that engines need on average for what waits there, from which on it matters which engine is chosen;
     * less, and a call is in time at any of them.
     */
    private static final double WAITING_WORK_SHARE = 0.1;

    private final RoomPace pace = new RoomPace();
    private double meanRemoteTokens;

    /**
     * Returns for how many further calls a server has places, negative if it has too many.
     *
     * @param view the server
     * @param service its service
     * @param nowNanos the monotonic time in nanoseconds
     */
    int places(ServerView view, RelayService service, long nowNanos) {
        int slots = view.server().slots();
        int queue = service.engineCapacity().isPresent()
                ? (int) (slots * ENGINE_QUEUE_SHARE)
                : Math.max(PLAIN_QUEUE_LENGTH, slots);
        return slots + queue - view.occupiedSlots(nowNanos);
    }

    /**
     * Returns whether a server has room for a call.
     *
     * @param needs what the call needs
     * @param view the server
     * @param service its service
     * @param speed how fast the servers of the service work
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean fits(CallNeeds needs, ServerView view, RelayService service, ServiceSpeed speed, long nowNanos) {
        // A plain server is limited by its places alone: a call that would be late there is late anywhere while it
        // waits here.
        if (service.engineCapacity().isEmpty() || !pace.tight() || view.occupiedSlots(nowNanos) <= 0) {
            return true;
        }
        double ahead = aheadMillis(view, speed, nowNanos);
        boolean inTime = ahead + ownMillis(needs, view, speed, nowNanos) <= KNOWN_WORK_SHARE * needs.waitMillis();
        return (inTime || ahead <= LATE_CALL_SHARE * needs.targetMillis())
                && fitsMemory(needs, view, service, nowNanos);
    }

    /** Returns the learned pace. */
    RoomPace pace() {
        return pace;
    }

    private static boolean fitsMemory(CallNeeds needs, ServerView view, RelayService service, long nowNanos) {
        return service.engineCapacity()
                .map(capacity -> view.heldTokens(nowNanos) + needs.heldTokens() <= capacity.cacheTokens())
                .orElse(true);
    }

    /** Records the unprocessed prompt tokens of other processes at the engines of the service, on average. */
    void onMeanRemoteTokens(double tokens) {
        meanRemoteTokens = tokens;
    }

    /**
     * Returns whether it matters for a call how much waits at each engine: answers begin late, and what waits is a part of it that
     * counts. A host that is slow itself sees late answers from idle engines, too.
     *
     * @param ownTokens the unprocessed prompt tokens of this process at the engines of the service, on average
     * @param speed how fast the servers of the service work
     * @param targetMillis the latency target of the call in milliseconds
     */
    boolean tight(double ownTokens, ServiceSpeed speed, long targetMillis) {
        double waitingMillis = (ownTokens + meanRemoteTokens) * speed.prefillMillisPerToken();
        return pace.tight() && waitingMillis > WAITING_WORK_SHARE * targetMillis;
    }

    /**
     * Returns the unprocessed prompt tokens to expect at an engine: the older the figures, the nearer to the mean of all
     * engines.
     */
    private double expectedPendingTokens(ServerView view, long nowNanos) {
        OptionalDouble remote = view.remotePendingTokens(nowNanos);
        if (remote.isEmpty()) {
            return view.pendingTokens();
        }
        double weight = Math.exp(-view.remoteAgeMillis(nowNanos) / FIGURES_HOLD_MILLIS);
        return view.pendingTokens() + meanRemoteTokens + weight * (remote.getAsDouble() - meanRemoteTokens);
    }

    /** Returns the milliseconds that an engine needs for the work of all processes that waits there. */
    double aheadMillis(ServerView view, ServiceSpeed speed, long nowNanos) {
        double millis = expectedPendingTokens(view, nowNanos) * speed.prefillMillisPerToken() * view.slowness(nowNanos)
                + view.occupiedSlots(nowNanos) * speed.runningRequestMillis();
        return millis * pace.factor();
    }

    /** Returns the milliseconds of an engine's time that a call takes before its answer begins. */
    double ownMillis(CallNeeds needs, ServerView view, ServiceSpeed speed, long nowNanos) {
        return needs.uncachedTokens() * speed.prefillMillisPerToken() * pace.factor() * view.slowness(nowNanos);
    }
}
