package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.platform.json.Json;
import org.xnio.IoUtils;

/** Writes refusals as {@code application/problem+json}. */
final class Problems {
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    private static final long MILLIS_IN_SECOND = 1_000;

    private Problems() {}

    private record Problem(String type, String title, int status, String outcome, String reason, String requestId) {}

    /** Sends a refusal as the final answer. */
    static void send(HttpServerExchange exchange, String callerRequestId, Refusal refusal) {
        if (exchange.isResponseStarted()) {
            // Part of the answer is out; cutting the connection is the only way to say that it is not whole.
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        RefusalReason reason = refusal.reason();
        exchange.setStatusCode(reason.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        exchange.getResponseHeaders().put(REQUEST_ID, callerRequestId);
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_IN_SECOND - 1) / MILLIS_IN_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        Problem problem = new Problem(
                "about:blank",
                reason.summary(),
                reason.status(),
                refusal.outcome().text(),
                reason.text(),
                callerRequestId);
        exchange.getResponseSender().send(Json.write(problem));
    }
}
