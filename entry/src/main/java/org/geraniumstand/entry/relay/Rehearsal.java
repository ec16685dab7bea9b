package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.PlatformFacts;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpCalls;
import org.geraniumstand.support.net.HttpRequest;

/** Starts a process on loopback, calls its listeners and ends, so that its classes can be archived for faster starts. */
public final class Rehearsal {
    private static final Log LOG = Log.of(Rehearsal.class);
    private static final String LOOPBACK = "127.0.0.1";
    private static final long CALL_MILLIS = 1_000;
    private static final int ROUNDS = 2;

    /** Bounds without a meaning; no request is relayed. */
    private static final RelaySettings.Bounds BOUNDS = new RelaySettings.Bounds(1, 0, 0, 1, 0, 0, 3_000, 5, 10);

    private Rehearsal() {}

    /** Runs it. */
    public static void run() {
        Closer closer = new Closer();
        RelaySettings settings = new RelaySettings(
                "rehearsal",
                new DataCentreId("none"),
                address(),
                address(),
                address(),
                address(),
                "rehearsal-without-peers",
                List.of(),
                URI.create("http://" + LOOPBACK + ":" + address().getPort()),
                URI.create("http://" + LOOPBACK + ":" + address().getPort()),
                BOUNDS);
        closer.add(RelayProcess.start(settings));
        HttpCalls calls = closer.add(HttpCalls.start("rehearsal"));
        PlatformFacts.rehearse();
        for (int i = 0; i < ROUNDS; i++) {
            call(calls, settings.readiness());
            call(calls, settings.callers());
        }
        closer.close();
    }

    private static void call(HttpCalls calls, InetSocketAddress address) {
        URI origin = URI.create("http://" + LOOPBACK + ":" + address.getPort());
        CountDownLatch answered = new CountDownLatch(1);
        HttpRequest request =
                new HttpRequest("POST", origin, "/", List.of(), HttpBody.of("rehearsal"), CALL_MILLIS, true);
        calls.send(request, result -> {
            LOG.info(
                    "rehearsed",
                    Field.of("port", address.getPort()),
                    Field.of("answered", result.value().isPresent()));
            answered.countDown();
        });
        try {
            if (!answered.await(CALL_MILLIS, TimeUnit.MILLISECONDS)) {
                LOG.warn("rehearsal-unanswered", Field.of("port", address.getPort()));
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static InetSocketAddress address() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return InetSocketAddress.createUnresolved(LOOPBACK, socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("no free port on loopback", e);
        }
    }
}
