package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/** Reads the request line and the headers of a caller's request. */
final class RequestReader {
    static final HttpString RELAYED_BY = new HttpString("X-Relayed-By");

    private static final HttpString REQUEST_TIMEOUT = new HttpString("Request-Timeout");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");
    private static final String BEARER = "Bearer ";
    private static final List<HttpString> SINGLE_VALUED = List.of(
            Headers.AUTHORIZATION,
            Headers.CONTENT_TYPE,
            RelayedHeaders.REQUEST_ID,
            REQUEST_TIMEOUT,
            IDEMPOTENCY_KEY,
            LAST_EVENT_ID);
    private static final List<HttpString> FORWARDED = List.of(
            Headers.ACCEPT,
            Headers.ACCEPT_LANGUAGE,
            Headers.CONTENT_TYPE,
            Headers.CONTENT_ENCODING,
            Headers.IF_MATCH,
            Headers.IF_NONE_MATCH,
            Headers.IF_MODIFIED_SINCE,
            Headers.IF_UNMODIFIED_SINCE,
            Headers.RANGE,
            IDEMPOTENCY_KEY);

    private RequestReader() {}

    static CallerRequest read(HttpServerExchange exchange, RequestId id) {
        HeaderMap headers = exchange.getRequestHeaders();
        return new CallerRequest(
                first(headers, RelayedHeaders.REQUEST_ID).orElseGet(id::value),
                exchange.getRequestMethod().toString(),
                exchange.isHostIncludedInRequestURI() ? "" : exchange.getRequestURI(),
                exchange.getQueryString(),
                first(headers, Headers.AUTHORIZATION)
                        .filter(text -> text.startsWith(BEARER))
                        .map(text -> text.substring(BEARER.length())),
                first(headers, IDEMPOTENCY_KEY),
                first(headers, REQUEST_TIMEOUT),
                first(headers, LAST_EVENT_ID),
                repeated(headers),
                forwardedHeaders(headers),
                HttpBody.EMPTY);
    }

    private static Optional<String> first(HeaderMap headers, HttpString name) {
        return Optional.ofNullable(headers.getFirst(name));
    }

    private static List<String> repeated(HeaderMap headers) {
        List<String> names = new ArrayList<>();
        for (HttpString name : SINGLE_VALUED) {
            if (headers.count(name) > 1) {
                names.add(name.toString());
            }
        }
        return names;
    }

    private static List<Header> forwardedHeaders(HeaderMap headers) {
        List<Header> forwardedHeaders = new ArrayList<>();
        for (HttpString name : FORWARDED) {
            HeaderValues values = headers.get(name);
            if (values != null) {
                forwardedHeaders.add(new Header(name.toString(), String.join(", ", values)));
            }
        }
        return forwardedHeaders;
    }
}
