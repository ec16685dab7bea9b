package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

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
    public boolean isAnswerTo(AnswerHead head, AttemptSpec spec) {
        String attemptId = head.headers().getFirst(ATTEMPT_ID);
        return attemptId == null || attemptId.equals(spec.attemptId());
    }

    @Override
    public boolean declaresNotRun(AnswerHead head) {
        return head.declaresNotRun();
    }

    @Override
    public boolean allowsReuse(AnswerHead head) {
        return head.headers().contains(ATTEMPT_ID) || !declaresNotRun(head);
    }
}
