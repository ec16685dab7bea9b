package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** The product's own interface towards backend servers. */
final class OwnServerProtocol implements ServerProtocol {
    static final ServerProtocol INSTANCE = new OwnServerProtocol();

    private static final HttpString IDENTITY = new HttpString("X-Request-Id");

    private OwnServerProtocol() {}

    @Override
    public void writeHead(HeaderMap headers, String authority, AttemptSpec spec) {
        headers.put(Headers.HOST, authority);
        headers.put(IDENTITY, spec.identity());
        spec.headers().forEach(h -> headers.put(HttpString.tryFromString(h.name()), h.value()));
    }

    @Override
    public boolean answers(AnswerHead head, AttemptSpec spec) {
        String identity = head.headers().getFirst(IDENTITY);
        return identity == null || identity.equals(spec.identity());
    }

    @Override
    public boolean vouchesNotRun(AnswerHead head) {
        return head.vouchesNotRun();
    }
}
