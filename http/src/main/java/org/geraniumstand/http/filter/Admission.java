package org.geraniumstand.http.filter;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.support.net.HttpBody;

/**
 * Holds what the filters have determined about a request.
 *
 * @param request the request as the caller sent it
 * @param configuration the configuration under which the request is served
 * @param arrivedNanos arrival time on the process's monotonic clock, in nanoseconds
 * @param team the team that sent the request, once identified
 * @param route the route of the request, once matched
 * @param service the service of the request, once the route is matched
 * @param timeoutMillis time that the caller waits for the answer, in milliseconds
 * @param lastEventId id of the last event that a reconnecting caller received, if it reconnects
 * @param completion the parsed body of a completion request, for model services
 */
public record Admission(
        CallerRequest request,
        Configuration configuration,
        long arrivedNanos,
        Optional<Team> team,
        Optional<Route> route,
        Optional<Service> service,
        long timeoutMillis,
        Optional<Integer> lastEventId,
        Optional<Completion> completion) {
    /** Default time that a caller waits for its answer, in milliseconds. */
    public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /**
     * Creates the admission of a request that no filter has checked yet.
     *
     * @param request the request as the caller sent it
     * @param configuration the configuration in force
     * @param arrivedNanos arrival time on the process's monotonic clock, in nanoseconds
     */
    public static Admission of(CallerRequest request, Configuration configuration, long arrivedNanos) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                DEFAULT_TIMEOUT_MILLIS,
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns a copy with the request body.
     *
     * @param body the request body
     */
    public Admission withBody(HttpBody body) {
        return new Admission(
                request.withBody(body),
                configuration,
                arrivedNanos,
                team,
                route,
                service,
                timeoutMillis,
                lastEventId,
                completion);
    }

    /**
     * Returns a copy with the team.
     *
     * @param identifiedTeam the team that sent the request
     */
    public Admission withTeam(Team identifiedTeam) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                Optional.of(identifiedTeam),
                route,
                service,
                timeoutMillis,
                lastEventId,
                completion);
    }

    /**
     * Returns a copy with the route and the service.
     *
     * @param matchedRoute the matching route
     * @param matchedService the service of the route
     */
    public Admission withRoute(Route matchedRoute, Service matchedService) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                team,
                Optional.of(matchedRoute),
                Optional.of(matchedService),
                timeoutMillis,
                lastEventId,
                completion);
    }

    /**
     * Returns a copy with the caller's timeout.
     *
     * @param millis time that the caller waits for the answer, in milliseconds
     */
    public Admission withTimeout(long millis) {
        return new Admission(
                request, configuration, arrivedNanos, team, route, service, millis, lastEventId, completion);
    }

    /**
     * Returns a copy with the caller's position in a stream.
     *
     * @param id id of the last event that the caller received
     */
    public Admission withLastEventId(int id) {
        return new Admission(
                request, configuration, arrivedNanos, team, route, service, timeoutMillis, Optional.of(id), completion);
    }

    /**
     * Returns a copy with the parsed completion request.
     *
     * @param parsed the completion request
     */
    public Admission withCompletion(Completion parsed) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                team,
                route,
                service,
                timeoutMillis,
                lastEventId,
                Optional.of(parsed));
    }

    /** Returns the caller's deadline on the process's monotonic clock, in nanoseconds. */
    public long deadlineNanos() {
        return arrivedNanos + timeoutMillis * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Returns the information about the request that decisions use; team, route and service must be set.
     *
     * @param id the id of the request in this process
     */
    public RequestInfo requestInfo(RequestId id) {
        return new RequestInfo(
                id,
                team.orElseThrow().id(),
                service.orElseThrow().id(),
                route.orElseThrow().id(),
                idempotent(),
                streaming(),
                team.orElseThrow().priority(),
                deadlineNanos(),
                completion.map(Completion::promptTokens).orElse(0),
                completion.map(Completion::maxTokens).orElse(0),
                completion.map(Completion::prefixBlocks).orElseGet(List::of));
    }

    /** Returns whether the request may be sent to backend servers more than once. */
    public boolean idempotent() {
        return request.method().equals("GET")
                || request.method().equals("HEAD")
                || route.map(r -> r.repeatability() == Repeatability.IDEMPOTENT).orElse(false);
    }

    /** Returns whether the caller asks for a streamed answer. */
    public boolean streaming() {
        return completion.map(Completion::streaming).orElse(false);
    }
}
