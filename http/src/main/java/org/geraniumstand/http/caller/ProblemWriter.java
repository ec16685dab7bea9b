package org.geraniumstand.http.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.support.json.Json;
import org.xnio.IoUtils;

/** Writes refusals as {@code application/problem+json} (RFC 9457). */
final class ProblemWriter {
    private static final long MILLIS_IN_SECOND = 1_000;

    private ProblemWriter() {}

    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    private record Problem(
            String type, String title, int status, String detail, String outcome, String reason, String requestId) {}

    /** Sends a refusal as the final answer; an empty detail is omitted. */
    static void send(HttpServerExchange exchange, String callerRequestId, Refusal refusal, String detail) {
        if (exchange.isResponseStarted()) {
            // Part of the answer was sent; only closing the connection tells the caller that the answer is incomplete.
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        RefusalReason reason = refusal.reason();
        exchange.setStatusCode(reason.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        exchange.getResponseHeaders().put(RelayedHeaders.REQUEST_ID, callerRequestId);
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_IN_SECOND - 1) / MILLIS_IN_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        Problem problem = new Problem(
                "about:blank",
                reason.summary(),
                reason.status(),
                detail,
                refusal.outcome().text(),
                reason.text(),
                callerRequestId);
        exchange.getResponseSender().send(Json.write(problem));
    }
}
