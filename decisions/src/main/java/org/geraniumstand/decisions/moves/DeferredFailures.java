package org.geraniumstand.decisions.moves;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;

/** Defers failed connections until it is known whether the server's host was lost. */
@Decision(
        name = "held-failures",
        summary = "A failed connection counts after 5 s if its server is still listed, at most once per server and"
                + " second.")
final class DeferredFailures {
    /** Time for which a failure is deferred, in milliseconds; the lag of the host list is shorter. */
    static final long DEFERRAL_MILLIS = 5_000;

    private static final long MIN_INTERVAL_MILLIS = 1_000;
    private static final int MAX_DEFERRED = 1_024;

    private final Deque<DeferredFailure> deferred = new ArrayDeque<>();
    private final Map<ServerId, Timestamp> lastFailures = new HashMap<>();

    /**
     * Records a failure that is not counted yet.
     *
     * @param server the backend server that failed
     * @param route the route of the request
     * @param failedAt when the connection failed
     */
    record DeferredFailure(BackendServer server, RouteId route, Timestamp failedAt) {}

    /**
     * Defers a failure.
     *
     * @param server the backend server that failed
     * @param route the route of the request
     * @param now the current time
     */
    void defer(BackendServer server, RouteId route, Timestamp now) {
        Timestamp lastFailure = lastFailures.get(server.id());
        boolean tooSoon = lastFailure != null && now.millisSince(lastFailure) < MIN_INTERVAL_MILLIS;
        if (tooSoon || deferred.size() >= MAX_DEFERRED) {
            return;
        }
        lastFailures.put(server.id(), now);
        deferred.addLast(new DeferredFailure(server, route, now));
    }

    /**
     * Removes the failures whose deferral has ended and returns those of servers that are still usable.
     *
     * @param isUsable returns whether a server may receive new work
     * @param now the current time
     */
    List<DeferredFailure> drainDue(Predicate<ServerId> isUsable, Timestamp now) {
        List<DeferredFailure> result = new ArrayList<>();
        while (!deferred.isEmpty() && now.millisSince(deferred.peekFirst().failedAt()) >= DEFERRAL_MILLIS) {
            DeferredFailure oldest = deferred.removeFirst();
            if (isUsable.test(oldest.server().id())) {
                result.add(oldest);
            }
        }
        lastFailures.values().removeIf(failedAt -> now.millisSince(failedAt) >= DEFERRAL_MILLIS);
        return result;
    }

    /**
     * Returns whether any failure of a version is deferred.
     *
     * @param service the service
     * @param version the version of the service
     */
    boolean hasDeferred(ServiceId service, VersionId version) {
        return deferred.stream()
                .map(DeferredFailure::server)
                .anyMatch(server ->
                        server.service().equals(service) && server.version().equals(version));
    }
}
