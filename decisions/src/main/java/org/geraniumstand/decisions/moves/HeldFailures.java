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
import org.geraniumstand.model.time.Moment;

/** Decides which failed connections count, once it can be known whether the server's host was lost. */
@Decision(
        name = "held-failures",
        summary = "Failed connections count after 5 s if the server is still listed, once a server and second.")
final class HeldFailures {
    /** Time for which a failure is held, in milliseconds; the host list lags by less. */
    static final long HOLD_MILLIS = 5_000;

    private static final long SPACING_MILLIS = 1_000;
    private static final int MAX_HELD = 1_024;

    private final Deque<Held> held = new ArrayDeque<>();
    private final Map<ServerId, Moment> latest = new HashMap<>();

    /**
     * A failure that waits to be counted.
     *
     * @param server the backend server
     * @param route the route
     * @param at when it failed
     */
    record Held(BackendServer server, RouteId route, Moment at) {}

    /**
     * Holds a failure.
     *
     * @param server the backend server
     * @param route the route
     * @param now the time
     */
    void add(BackendServer server, RouteId route, Moment now) {
        Moment last = latest.get(server.id());
        boolean close = last != null && now.millisSince(last) < SPACING_MILLIS;
        if (close || held.size() >= MAX_HELD) {
            return;
        }
        latest.put(server.id(), now);
        held.addLast(new Held(server, route, now));
    }

    /**
     * Takes the failures that count now, and forgets those of servers that have left.
     *
     * @param usable tells whether a server may take new work
     * @param now the time
     */
    List<Held> takeDue(Predicate<ServerId> usable, Moment now) {
        List<Held> due = new ArrayList<>();
        while (!held.isEmpty() && now.millisSince(held.peekFirst().at()) >= HOLD_MILLIS) {
            Held first = held.removeFirst();
            if (usable.test(first.server().id())) {
                due.add(first);
            }
        }
        latest.values().removeIf(at -> now.millisSince(at) >= HOLD_MILLIS);
        return due;
    }

    /**
     * Tells whether failures of a version are held.
     *
     * @param service the service
     * @param version its version
     */
    boolean holds(ServiceId service, VersionId version) {
        return held.stream()
                .map(Held::server)
                .anyMatch(server ->
                        server.service().equals(service) && server.version().equals(version));
    }
}
