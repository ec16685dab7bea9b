package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;

/** Implements the product's own header conventions for backend servers. */
final class NativeServerProtocol implements ServerProtocol {
    static final ServerProtocol INSTANCE = new NativeServerProtocol();

    private static final HttpString ATTEMPT_ID = new HttpString("X-Request-Id");

    private NativeServerProtocol() {}

    @Override
    public void writeHead(HeaderMap headers, String authority, AttemptSpec spec) {
        headers.put(Headers.HOST, authority);
        headers.put(ATTEMPT_ID, spec.attemptId());
        spec.headers().forEach(h -> headers.put(HttpString.tryFromString(h.name()), h.value()));
    }

    @Override
    public AnswerStatement statementOf(AnswerHead head) {
        Optional<String> attemptId = Optional.ofNullable(head.headers().getFirst(ATTEMPT_ID));
        boolean notRun = head.declaresNotRun();
        return new AnswerStatement(attemptId, notRun, !notRun && head.success(), attemptId.isPresent() || !notRun);
    }
}
