package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests on which connection a request is sent after it was answered without success. */
@Timeout(60)
final class RefusedRequestTest extends AttemptFixture {
    private final Set<FakeServer.Connection> connections = ConcurrentHashMap.newKeySet();

    private FakeServer startWithFirstAnswer(String statusAndHeaders) {
        return FakeServer.start((request, c) -> {
            boolean first = connections.isEmpty();
            connections.add(c);
            String own = "X-Request-Id: " + request.attemptId() + "\r\nContent-Length: 0\r\n\r\n";
            c.write("HTTP/1.1 " + (first ? statusAndHeaders : "201 X\r\n") + own);
        });
    }

    /** Guards against the copy of an answer that is taken for the answer to the same request, which was sent again. */
    @ParameterizedTest
    @ValueSource(
            strings = {"503 Full\r\nX-Outcome: not-run\r\n", "421 X\r\nX-Outcome: not-run\r\n", "500 X\r\n", "404 X\r\n"
            })
    void isSentAgainOnAnotherConnection(String statusAndHeaders) throws Exception {
        try (FakeServer server = startWithFirstAnswer(statusAndHeaders)) {
            send(server, "POST", "a");

            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.ANSWERED, 201, "")));
            assertThat(connections, hasSize(2));
            assertThat(server.disconnects(), is(0));
        }
    }

    @Test
    void leavesItsConnectionToOtherRequests() throws Exception {
        try (FakeServer server = startWithFirstAnswer("503 Full\r\nX-Outcome: not-run\r\n")) {
            assertThat(send(server, "POST", "a").end(), is(AttemptEnd.DECLINED));

            assertThat(send(server, "POST", "b"), is(new Ended(AttemptEnd.ANSWERED, 201, "")));
            assertThat(connections, hasSize(1));
        }
    }
}
