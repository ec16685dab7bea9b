package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.HeaderCodec;

/**
 * Holds the head of a caller's request that passed all checks.
 *
 * @param head the parsed headers
 * @param route the route of the request
 * @param team the team of the caller, if the request carries a key
 */
record OpaqueRequest(CallerHead head, RelayRoute route, Optional<RelayTeam> team) {
    /** Checks the head of a request against the configuration in force. */
    static Result<OpaqueRequest, Rejection> read(
            HttpServerExchange exchange, RelayConfiguration configuration, HeaderCodec codec) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (headers.contains(Headers.TRANSFER_ENCODING) && headers.contains(Headers.CONTENT_LENGTH)) {
            // Two conflicting body lengths allow request smuggling.
            return malformed("the request states the length of its body twice");
        }
        if (headers.contains(Headers.CONTENT_LENGTH)
                && headers.get(Headers.CONTENT_LENGTH).size() > 1) {
            return malformed("the request states the length of its body twice");
        }
        Result<CallerHead, String> read = codec.parseCallerHead(new UndertowHeaders(headers));
        if (read.value().isEmpty()) {
            return malformed(read.error().orElse("the request headers are malformed"));
        }
        CallerHead head = read.value().get();
        if (head.attempt().isEmpty()) {
            return malformed("the request has no attempt id");
        }
        Optional<RelayRoute> route = configuration.route(host(headers), exchange.getRequestURI());
        if (route.isEmpty()) {
            return Result.err(Rejection.of(RefusalReason.UNKNOWN_ROUTE, "no route of this host matches the path"));
        }
        Optional<RelayTeam> team = head.apiKey().flatMap(configuration::teamWithApiKey);
        if (configuration.requiresApiKeys() && !route.get().allowsAnonymous() && team.isEmpty()) {
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
