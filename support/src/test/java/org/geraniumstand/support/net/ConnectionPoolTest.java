package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.IoUtils;

final class ConnectionPoolTest {
    private static final long RECENT_MILLIS = 60_000;
    private static final long ARRIVAL_MILLIS = 20;

    private final ConnectionPool pool = new ConnectionPool();
    private ConnectionFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new ConnectionFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private ServerConnection openAndRelease() throws ExecutionException, InterruptedException, TimeoutException {
        ServerConnection connection = fixture.open();
        return fixture.onThread(() -> {
            pool.release(fixture.origin(), connection);
            return connection;
        });
    }

    private Optional<ServerConnection> acquire(long withinMillis, Predicate<ServerConnection> usable)
            throws ExecutionException, InterruptedException, TimeoutException {
        return fixture.onThread(() -> pool.acquire(fixture.origin(), withinMillis, usable));
    }

    private static Predicate<ServerConnection> withoutAnswerTo(String id) {
        return connection -> !connection.answeredIds().contains(id);
    }

    @Test
    void returnsTheConnectionThatWasUsedLast() throws Exception {
        ServerConnection first = openAndRelease();
        ServerConnection second = openAndRelease();

        assertThat(acquire(RECENT_MILLIS, _c -> true).orElseThrow(), sameInstance(second));
        assertThat(acquire(RECENT_MILLIS, _c -> true).orElseThrow(), sameInstance(first));
        assertThat(acquire(RECENT_MILLIS, _c -> true).isEmpty(), is(true));
    }

    /** Guards against a request that is sent again on the connection on which it was refused. */
    @Test
    void skipsConnectionsThatAreNotUsable() throws Exception {
        ServerConnection other = openAndRelease();
        ServerConnection refused = openAndRelease();
        refused.answeredIds().add("a", false);

        assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("a")).orElseThrow(), sameInstance(other));
        assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("a")).isEmpty(), is(true));
    }

    @Test
    void keepsSkippedConnectionsForOtherRequests() throws Exception {
        ServerConnection refused = openAndRelease();
        refused.answeredIds().add("a", false);
        assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("a")).isEmpty(), is(true));

        assertThat(refused.client().isOpen(), is(true));
        assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("b")).orElseThrow(), sameInstance(refused));
    }

    /** Guards against idle connections that grow in number while requests with the same id are refused again and again. */
    @Test
    void keepsALimitedNumberOfSkippedConnections() throws Exception {
        List<ServerConnection> refused = new ArrayList<>();
        for (int i = 0; i < 2 * ConnectionPool.MAX_SKIPPED; i++) {
            assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("a")).isEmpty(), is(true));
            ServerConnection connection = openAndRelease();
            connection.answeredIds().add("a", false);
            refused.add(connection);
        }
        assertThat(acquire(RECENT_MILLIS, withoutAnswerTo("a")).isEmpty(), is(true));

        long open = refused.stream()
                .filter(connection -> connection.client().isOpen())
                .count();
        assertThat(open, is((long) ConnectionPool.MAX_SKIPPED));
        assertThat(acquire(RECENT_MILLIS, _c -> true).orElseThrow(), sameInstance(refused.get(refused.size() - 1)));
    }

    @Test
    void closesConnectionsThatWereNotUsedRecently() throws Exception {
        ServerConnection connection = openAndRelease();

        assertThat(acquire(0, _c -> true).isEmpty(), is(true));
        assertThat(connection.client().isOpen(), is(false));
    }

    @Test
    void neverReturnsAClosedConnection() throws Exception {
        ServerConnection open = openAndRelease();
        ServerConnection closed = openAndRelease();
        fixture.onThread(() -> {
            IoUtils.safeClose(closed.client());
            return closed;
        });

        assertThat(acquire(RECENT_MILLIS, _c -> true).orElseThrow(), sameInstance(open));
    }

    /** Guards against bytes behind an answer, or sent while a connection is idle, that answer the next request. */
    @Test
    void neverReturnsAConnectionWithUnreadInput() throws Exception {
        ServerConnection sound = openAndRelease();
        ServerConnection unread = openAndRelease();
        try (Socket _first = fixture.accept();
                Socket second = fixture.accept()) {
            ServerConnection acquired = fixture.onThread(() -> {
                // The HTTP client has no turn to read before the connection is acquired.
                second.getOutputStream().write('x');
                Thread.sleep(ARRIVAL_MILLIS);
                return pool.acquire(fixture.origin(), RECENT_MILLIS).orElseThrow();
            });

            assertThat(acquired, sameInstance(sound));
            assertThat(unread.client().isOpen(), is(false));
        }
    }

    /** Guards against a request that is sent to a server that has just closed the connection. */
    @Test
    void neverReturnsAConnectionThatTheServerHasClosed() throws Exception {
        openAndRelease();
        try (Socket server = fixture.accept()) {
            Optional<ServerConnection> acquired = fixture.onThread(() -> {
                server.close();
                Thread.sleep(ARRIVAL_MILLIS);
                return pool.acquire(fixture.origin(), RECENT_MILLIS);
            });

            assertThat(acquired.isEmpty(), is(true));
        }
    }
}
