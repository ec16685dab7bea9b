package org.geraniumstand.entry.relay;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.RehearsalPlatform;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Runs two entry processes on loopback against a simulated platform, so that the classes that a serving process loads can be
 * written to a class data sharing (CDS) archive for faster starts.
 */
public final class Rehearsal {
    private static final Log LOG = Log.of(Rehearsal.class);
    private static final long CALL_MILLIS = 2_000;
    private static final int ROUNDS = 5;

    /** Time within which the processes connect, elect a leader and report the usage of a window, in milliseconds. */
    private static final long LEADER_TASKS_MILLIS = 4_500;

    /** Template of the settings file of a process. */
    private static final String SETTINGS = String.join(
            "\n",
            "process: {name: \"$name\", dataCentre: \"z\"}",
            "listen: {callers: \"$0\", readiness: \"$1\", peers: \"$2\", metrics: \"$3\"}",
            "peers: {sharedKey: rehearsal-of-two-processes, seeds: [\"$seed\"]}",
            "store: {url: \"http://$platform\"}",
            "cloud: {url: \"http://$platform\"}",
            "bounds: {stopSeconds: 4, repeatRatio: 0.2, repeatSlack: 50, repeatWindowSeconds: 10, quotaSlack: 100000,",
            "  quotaOverrun: 0.1, drainMillis: 2000, contactMillis: 3000, leaseMillis: 3000, usageWindowSeconds: 1, usageLateSeconds: 10}",
            "");

    private static final int LISTENERS = 4;

    private final AsyncHttpClient calls;

    private Rehearsal(AsyncHttpClient calls) {
        this.calls = calls;
    }

    /** Starts both processes, sends calls to the first one, and shuts both down. */
    public static void run() {
        Closer closer = new Closer();
        InetSocketAddress platform = RehearsalServer.freeAddress();
        closer.add(RehearsalServer.start(platform));
        RelaySettings firstSettings = parseSettings("rehearsal-1", platform, "");
        RelaySettings secondSettings = parseSettings("rehearsal-2", platform, hostAndPort(firstSettings.peers()));
        RelayProcess firstProcess = closer.add(RelayProcess.start(firstSettings));
        RelayProcess secondProcess = closer.add(RelayProcess.start(secondSettings));
        Rehearsal rehearsal = new Rehearsal(closer.add(AsyncHttpClient.start("rehearsal")));
        for (int i = 0; i < ROUNDS; i++) {
            rehearsal.callAll(firstSettings, i);
        }
        sleep(LEADER_TASKS_MILLIS);
        secondProcess.stopGracefully();
        firstProcess.stopGracefully();
        closer.close();
    }

    private void callAll(RelaySettings settings, int round) {
        String attempt = "rehearsal-" + round;
        call(settings.readiness(), "GET", "/", List.of());
        call(settings.callers(), "POST", RehearsalPlatform.STREAM_PATH, RehearsalPlatform.callerHeaders(attempt + "s"));
        call(settings.callers(), "GET", RehearsalPlatform.PLAIN_PATH, RehearsalPlatform.callerHeaders(attempt + "p"));
        call(settings.callers(), "GET", RehearsalPlatform.UNKNOWN_PATH, RehearsalPlatform.callerHeaders(attempt + "u"));
        call(settings.metrics(), "GET", "/metrics", List.of());
    }

    private void call(InetSocketAddress address, String method, String path, List<HttpRequest.Header> headers) {
        URI origin = URI.create("http://" + hostAndPort(address));
        HttpBody body = method.equals("POST") ? HttpBody.of("rehearsal") : HttpBody.EMPTY;
        CompletableFuture<String> outcome = new CompletableFuture<>();
        calls.send(
                new HttpRequest(method, origin, path, headers, body, CALL_MILLIS, true),
                result -> outcome.complete(result.fold(response -> "" + response.status(), Enum::name)));
        try {
            String outcomeText = outcome.get(CALL_MILLIS * 2, TimeUnit.MILLISECONDS);
            LOG.info("rehearsed", Field.of("path", path), Field.of("outcome", outcomeText));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("rehearsed", Field.of("path", path), Field.of("outcome", e));
        }
    }

    private static RelaySettings parseSettings(String name, InetSocketAddress platform, String seed) {
        String text = SETTINGS.replace("$name", name)
                .replace("$platform", hostAndPort(platform))
                .replace("\"$seed\"", seed.isEmpty() ? "" : '"' + seed + '"');
        for (int i = 0; i < LISTENERS; i++) {
            text = text.replace("\"$" + i, "\"" + hostAndPort(RehearsalServer.freeAddress()));
        }
        return RelaySettingsFile.parse(name, text).fold(valid -> valid, error -> {
            throw new IllegalStateException(error.text());
        });
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
