package org.geraniumstand.http.filter;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.support.net.HttpBody;

/**
 * What the filters have found out about a request.
 *
 * @param request the request
 * @param configuration the configuration that it is served under
 * @param arrivedNanos when it arrived, on the process's monotonic clock in nanoseconds
 * @param team the team that sent it, once known
 * @param route its route, once known
 * @param service its service, once known
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param lastEventId last event that a reconnecting caller has, if it does
 * @param completion the parsed body of a completion, for model services
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
    /** Milliseconds that a caller waits when it does not say. */
    public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /**
     * Starts with nothing found out.
     *
     * @param request the request
     * @param configuration the configuration in force
     * @param arrivedNanos when it arrived, on the process's monotonic clock in nanoseconds
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
     * Returns this admission with the body read.
     *
     * @param body the body
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
     * Returns this admission with the team known.
     *
     * @param found the team
     */
    public Admission withTeam(Team found) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                Optional.of(found),
                route,
                service,
                timeoutMillis,
                lastEventId,
                completion);
    }

    /**
     * Returns this admission with route and service known.
     *
     * @param foundRoute the route
     * @param foundService the service
     */
    public Admission withRoute(Route foundRoute, Service foundService) {
        return new Admission(
                request,
                configuration,
                arrivedNanos,
                team,
                Optional.of(foundRoute),
                Optional.of(foundService),
                timeoutMillis,
                lastEventId,
                completion);
    }

    /**
     * Returns this admission with the caller's patience known.
     *
     * @param millis how long the caller waits, in milliseconds
     */
    public Admission withTimeout(long millis) {
        return new Admission(
                request, configuration, arrivedNanos, team, route, service, millis, lastEventId, completion);
    }

    /**
     * Returns this admission with the caller's place in a stream known.
     *
     * @param id last event that the caller has
     */
    public Admission withLastEventId(int id) {
        return new Admission(
                request, configuration, arrivedNanos, team, route, service, timeoutMillis, Optional.of(id), completion);
    }

    /**
     * Returns this admission with the completion parsed.
     *
     * @param parsed the completion
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

    /** Returns when the caller stops waiting, on the process's monotonic clock in nanoseconds. */
    public long deadlineNanos() {
        return arrivedNanos + timeoutMillis * Moment.NANOS_PER_MILLI;
    }

    /**
     * Returns what decisions need to know about the request; team, route and service must be known.
     *
     * @param id the request
     */
    public RequestFacts facts(RequestId id) {
        return new RequestFacts(
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

    /** Returns whether the request may reach backend servers more than once. */
    public boolean idempotent() {
        return request.method().equals("GET")
                || request.method().equals("HEAD")
                || route.map(r -> r.repeatability() == Repeatability.IDEMPOTENT).orElse(false);
    }

    /** Returns whether the answer streams. */
    public boolean streaming() {
        return completion.map(Completion::streaming).orElse(false);
    }
}
