package org.geraniumstand.http.opaque;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.AnswerStatement;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.http.upstream.ServerProtocol;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.outside.relay.HeaderCodec;

/** Writes requests to backend servers and interprets their answers by the header conventions of a codec. */
final class OpaqueProtocol implements ServerProtocol {
    private final HeaderCodec codec;

    OpaqueProtocol(HeaderCodec codec) {
        this.codec = codec;
    }

    @Override
    public void writeHead(HeaderMap headers, String authority, AttemptSpec spec) {
        headers.put(Headers.HOST, authority);
        spec.headers().forEach(header -> {
            HttpString name = HttpString.tryFromString(header.name());
            if (name.equals(Headers.HOST)) {
                headers.put(name, header.value());
            } else {
                headers.add(name, header.value());
            }
        });
    }

    @Override
    public AnswerStatement statementOf(AnswerHead head) {
        ServerHead answer = read(head);
        boolean success = head.success() && answer.signed() && !answer.notExecuted();
        return new AnswerStatement(
                answer.attempt(),
                answer.notExecuted(),
                success,
                answer.attempt().isPresent());
    }

    ServerHead read(AnswerHead head) {
        return codec.parseServerHead(head.status(), new UndertowHeaders(head.headers()));
    }
}
