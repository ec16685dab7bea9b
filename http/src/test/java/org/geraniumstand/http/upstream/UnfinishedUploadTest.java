package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.http.fake.EarlyServer;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.support.net.HttpBody;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is taken for the answer to a request that the server closes its connection on before it has read the body. */
@Timeout(60)
final class UnfinishedUploadTest extends AttemptFixture {
    /** Larger than the buffers of both sides of a connection together. */
    private static final HttpBody LONG = HttpBody.of(new byte[32 * 1024 * 1024]);

    private Ended sendTo(String answer, EarlyServer.Close close) throws Exception {
        try (EarlyServer server = EarlyServer.start(answer, close)) {
            return send(spec(server.port(), "POST", "a", LONG, PATIENT));
        }
    }

    /** Guards against a part of an answer that ends with its connection and was taken for the whole. */
    @ParameterizedTest
    @CsvSource({
        "200, '', END",
        "200, '', END_THEN_RESET",
        "200, '', RESET",
        "200, 'Connection: close\r\n', END",
        "200, 'Connection: close\r\n', RESET",
        "413, '', END",
        "413, '', RESET",
        "500, '', END",
        "503, 'X-Outcome: not-run\r\n', RESET"
    })
    void answerWithoutLengthIsBroken(int status, String headers, EarlyServer.Close close) throws Exception {
        assertThat(
                sendTo("HTTP/1.1 " + status + " X\r\n" + headers + "\r\npart", close)
                        .end(),
                is(AttemptEnd.BROKEN));
    }

    @ParameterizedTest
    @CsvSource({
        "'Content-Length: 9\r\n\r\npart', END",
        "'Content-Length: 9\r\n\r\npart', RESET",
        "'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n', END",
        "'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n', RESET",
        "'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n', RESET"
    })
    void partOfAFramedAnswerIsBroken(String rest, EarlyServer.Close close) throws Exception {
        assertThat(sendTo("HTTP/1.1 200 OK\r\n" + rest, close).end(), is(AttemptEnd.BROKEN));
    }

    /** The end of such an answer is certain, whatever becomes of the upload. */
    @ParameterizedTest
    @EnumSource(EarlyServer.Close.class)
    void framedAnswerIsWhole(EarlyServer.Close close) throws Exception {
        assertThat(
                sendTo("HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\nmuch", close),
                is(new Ended(AttemptEnd.ANSWERED, 413, "much")));
        assertThat(
                sendTo("HTTP/1.1 413 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmuch\r\n0\r\n\r\n", close),
                is(new Ended(AttemptEnd.ANSWERED, 413, "much")));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 100_000})
    void answerWithoutLengthIsWholeAfterTheUpload(int bytes) throws Exception {
        checkWholeAfter(HttpBody.of(new byte[bytes]));
    }

    @Test
    void answerWithoutLengthIsWholeAfterALongUpload() throws Exception {
        checkWholeAfter(LONG);
    }

    private void checkWholeAfter(HttpBody body) throws Exception {
        try (FakeServer server = FakeServer.start((_request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n\r\nwhole");
            c.abort();
        })) {
            assertThat(
                    send(spec(server.port(), "POST", "a", body, PATIENT)),
                    is(new Ended(AttemptEnd.ANSWERED, 200, "whole")));
        }
    }
}
