package org.geraniumstand.http.filter;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;

/** Finds the route and the service for a path. */
@Decision(name = "match-route", summary = "Rejects requests whose path matches no route.")
public final class MatchRoute implements Filter {
    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        return admission
                .configuration()
                .routeFor(admission.request().path())
                .flatMap(route -> admission
                        .configuration()
                        .service(route.service())
                        .map(service -> admission.withRoute(route, service)))
                .<Result<Admission, Rejection>>map(Result::ok)
                .orElseGet(() -> Result.err(Rejection.of(RefusalReason.UNKNOWN_ROUTE, "no route matches the path")));
    }
}
