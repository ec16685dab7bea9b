package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;

/** Tests that the copy of a stream that broke off is not taken for its continuation. */
final class CopiedStreamTest extends OpaqueListenerFixture {
    /** Guards against events that a caller gets twice, as the copy of a stream that broke off was taken for its continuation. */
    @Test
    void ofAStreamThatBrokeOffIsNotTakenForItsContinuation() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String text = "id: 1\ndata: a\n\nid: 2\nda";
        String broken = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n";
        try (FakeServer server = FakeServer.start((_request, c) -> {
            if (calls.incrementAndGet() == 1) {
                c.write(broken);
                c.repeatLater(broken, 20);
                return;
            }
            Thread.sleep(60);
            startChunks(c);
            chunk(c, "id: 2\ndata: b\n\n");
            c.write("0\r\n\r\n");
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }
}
