package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.platform.net.HttpBody;

/**
 * What the filters have found out about a request.
 *
 * @param request the request
 * @param configuration the configuration that it is served under
 * @param team the team that sent it, once known
 * @param route its route, once known
 * @param service its service, once known
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param completion the parsed body of a completion, for model services
 */
public record Admission(
        CallerRequest request,
        Configuration configuration,
        Optional<Team> team,
        Optional<Route> route,
        Optional<Service> service,
        long timeoutMillis,
        Optional<Completion> completion) {
    /** Milliseconds that a caller waits when it does not say. */
    public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /**
     * Starts with nothing found out.
     *
     * @param request the request
     * @param configuration the configuration in force
     */
    public static Admission of(CallerRequest request, Configuration configuration) {
        return new Admission(
                request,
                configuration,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                DEFAULT_TIMEOUT_MILLIS,
                Optional.empty());
    }

    /**
     * Returns this admission with the body read.
     *
     * @param body the body
     */
    public Admission withBody(HttpBody body) {
        return new Admission(request.withBody(body), configuration, team, route, service, timeoutMillis, completion);
    }

    /**
     * Returns this admission with the team known.
     *
     * @param found the team
     */
    public Admission withTeam(Team found) {
        return new Admission(request, configuration, Optional.of(found), route, service, timeoutMillis, completion);
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
                team,
                Optional.of(foundRoute),
                Optional.of(foundService),
                timeoutMillis,
                completion);
    }

    /**
     * Returns this admission with the caller's patience known.
     *
     * @param millis how long the caller waits, in milliseconds
     */
    public Admission withTimeout(long millis) {
        return new Admission(request, configuration, team, route, service, millis, completion);
    }

    /**
     * Returns this admission with the completion parsed.
     *
     * @param parsed the completion
     */
    public Admission withCompletion(Completion parsed) {
        return new Admission(request, configuration, team, route, service, timeoutMillis, Optional.of(parsed));
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
