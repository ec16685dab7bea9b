package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Base64;
import java.util.Optional;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.model.id.RequestId;

/** Creates the task of a caller's request with a relay for its kind of answer. */
final class RequestTaskFactory {
    private RequestTaskFactory() {}

    static RequestTask create(HttpServerExchange exchange, RequestId id, Admission admission, RequestContext context) {
        String callerRequestId = admission.request().callerRequestId();
        AnswerRelay answer = new AnswerRelay(exchange, callerRequestId, admission.idempotent());
        Relay relay = admission.streaming()
                ? new StreamRelay(
                        admission.completion().orElseThrow(),
                        new CallerEventWriter(exchange, callerRequestId),
                        Optional.of(answer))
                : answer;
        RequestTask task = new RequestTask(id, admission, relay, exchange.getIoThread(), context);
        task.setReplay(recorded -> replay(exchange, callerRequestId, recorded));
        return task;
    }

    private static void replay(HttpServerExchange exchange, String callerRequestId, RecordedAnswer answer) {
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().put(RelayedHeaders.REQUEST_ID, callerRequestId);
        if (!answer.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
        }
        CallerOutput.sendWhole(exchange, Base64.getDecoder().decode(answer.body()));
    }
}
