package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.Dialect;

/**
 * A caller's request whose head passed all checks.
 *
 * @param head what the head says
 * @param route its route
 * @param team its team, if the caller showed a key
 */
record OpaqueRequest(CallerHead head, RelayRoute route, Optional<RelayTeam> team) {
    /** Checks a request's head against the plan in force. */
    static Result<OpaqueRequest, Rejection> read(HttpServerExchange exchange, RelayPlan plan, Dialect dialect) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (headers.contains(Headers.TRANSFER_ENCODING) && headers.contains(Headers.CONTENT_LENGTH)) {
            // Two lengths are how one request is smuggled inside another.
            return malformed("the body has two lengths");
        }
        if (headers.contains(Headers.CONTENT_LENGTH)
                && headers.get(Headers.CONTENT_LENGTH).size() > 1) {
            return malformed("the body has two lengths");
        }
        Result<CallerHead, String> read = dialect.caller(new UndertowHeaders(headers));
        if (read.value().isEmpty()) {
            return malformed(read.error().orElse("the head cannot be read"));
        }
        CallerHead head = read.value().get();
        if (head.attempt().isEmpty()) {
            return malformed("the request names no attempt");
        }
        Optional<RelayRoute> route = plan.route(host(headers), exchange.getRequestURI());
        if (route.isEmpty()) {
            return Result.err(Rejection.of(RefusalReason.UNKNOWN_ROUTE, "no route of this host has the path"));
        }
        Optional<RelayTeam> team = head.key().flatMap(plan::teamOf);
        if (plan.asksForKeys() && !route.get().open() && team.isEmpty()) {
            return Result.err(Rejection.of(RefusalReason.UNKNOWN_TEAM, "the key is missing or unknown"));
        }
        return Result.ok(new OpaqueRequest(head, route.get(), team));
    }

    private static Result<OpaqueRequest, Rejection> malformed(String detail) {
        return Result.err(Rejection.malformed(detail));
    }

    private static String host(HeaderMap headers) {
        String host = headers.getFirst(Headers.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
