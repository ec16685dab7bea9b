package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class LeavingWhileWaitingTest extends OpaqueListenerFixture {
    private static final int ROUTE_MILLIS = 30_000;
    private static final String REQUEST =
            "GET /safe/a HTTP/1.1\r\nHost: x\r\nattempt: a-1\r\nkey: right\r\nwait: " + ROUTE_MILLIS + "\r\n\r\n";

    @Test
    void memoryOfACallerThatLeavesWhileItsCallWaitsIsReturned() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_request, connection) -> {
                    await(release);
                    connection.answer(200, SIGNED_HEADERS, "x");
                });
                Caller first = new Caller(port)) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 1);
            first.write(REQUEST);
            Eventually.await("the first call runs", () -> server.requests().size() == 1);
            long held = listener.heldBytes();
            Caller second = new Caller(port);
            second.write(REQUEST);
            Eventually.await("the second call waits", () -> listener.heldBytes() > held);
            Thread.sleep(200);
            second.close();
            Eventually.await("its memory is returned", () -> listener.heldBytes() == held);
            release.countDown();
            assertThat(first.read("GET").status(), is(200));
            Eventually.await("nothing is held", () -> listener.heldBytes() == 0);
        }
    }
}
