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
import org.geraniumstand.entry.settings.RelaySettingsFile;
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

    /** Settings as a process reads them; the bounds have no meaning, as no request is relayed. */
    private static final String SETTINGS = String.join(
            "\n",
            "process: {name: rehearsal, dataCentre: none}",
            "listen: {callers: \"$0\", readiness: \"$1\", peers: \"$2\", metrics: \"$3\"}",
            "peers: {sharedKey: rehearsal-without-peers, seeds: [\"$2\"]}",
            "store: {url: \"http://$4\"}",
            "cloud: {url: \"http://$5\"}",
            "bounds: {stopSeconds: 1, repeatRatio: 0, repeatSlack: 0, repeatWindowSeconds: 1, quotaSlack: 0,",
            "  quotaOverrun: 0, leaseMillis: 3000, usageWindowSeconds: 5, usageLateSeconds: 10}",
            "");

    private static final int ADDRESSES = 6;

    private Rehearsal() {}

    /** Runs it. */
    public static void run() {
        Closer closer = new Closer();
        RelaySettings settings = RelaySettingsFile.parse("rehearsal", text())
                .value()
                .orElseThrow(() -> new IllegalStateException("the settings of the rehearsal are not valid"));
        closer.add(RelayProcess.start(settings));
        HttpCalls calls = closer.add(HttpCalls.start("rehearsal"));
        PlatformFacts.rehearse();
        for (int i = 0; i < ROUNDS; i++) {
            call(calls, settings.readiness());
            call(calls, settings.callers());
        }
        closer.close();
    }

    private static String text() {
        String text = SETTINGS;
        for (int i = 0; i < ADDRESSES; i++) {
            text = text.replace("$" + i, LOOPBACK + ":" + address().getPort());
        }
        return text;
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
