package org.geraniumstand.entry.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Polls the load and the cache events of the backend servers that this process owns; runs on the HTTP client's thread.
 */
public final class LoadPoll {
    private static final long PERIOD_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 400;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    // Number of polls for which a server that does not support cache events is skipped; it is then polled again,
    // because a newer version of the server may support them.
    private static final int SKIPPED_POLLS = 120;

    private final AsyncHttpClient calls;
    private final Consumer<Observation> core;
    private final Random random;
    private final Map<ServerId, PolledServer> polledServers = new HashMap<>();

    private static final class PolledServer {
        private BackendServer server;
        private long sequence = -1;
        private int pollsToSkip;

        private PolledServer(BackendServer server) {
            this.server = server;
        }

        private URI origin() {
            return URI.create("http://" + server.address() + ":" + server.port());
        }
    }

    /**
     * Creates a poll.
     *
     * @param calls HTTP client
     * @param core receives load reports, failed polls and cache events
     * @param random adds jitter to the polling period
     */
    public LoadPoll(AsyncHttpClient calls, Consumer<Observation> core, Random random) {
        this.calls = calls;
        this.core = core;
        this.random = random;
    }

    /**
     * Replaces the set of servers to poll; may be called on any thread.
     *
     * @param servers servers to poll
     */
    public void setServers(List<BackendServer> servers) {
        calls.schedule(() -> replace(servers), 0);
    }

    private void replace(List<BackendServer> servers) {
        List<ServerId> ids = servers.stream().map(BackendServer::id).toList();
        polledServers.keySet().retainAll(ids);
        for (BackendServer server : servers) {
            PolledServer existing = polledServers.get(server.id());
            if (existing == null) {
                PolledServer added = new PolledServer(server);
                polledServers.put(server.id(), added);
                calls.schedule(() -> poll(added), (long) (random.nextDouble() * PERIOD_MILLIS));
            } else {
                existing.server = server;
            }
        }
    }

    private void poll(PolledServer polled) {
        ServerId id = polled.server.id();
        if (polledServers.get(id) != polled) {
            return;
        }
        calls.send(HttpRequest.get(polled.origin(), "/load", TIMEOUT_MILLIS), result -> {
            Optional<LoadReport> report = result.value().flatMap(LoadPoll::load);
            core.accept(report.<Observation>map(load -> new Observation.LoadReported(id, load))
                    .orElseGet(() -> new Observation.LoadPollFailed(id)));
            pollEvents(polled, report.isPresent());
        });
        calls.schedule(() -> poll(polled), PERIOD_MILLIS * 3 / 4 + (long) (random.nextDouble() * PERIOD_MILLIS / 2));
    }

    private void pollEvents(PolledServer polled, boolean available) {
        if (polled.pollsToSkip > 0 || !available) {
            polled.pollsToSkip = Math.max(0, polled.pollsToSkip - 1);
            return;
        }
        String path = "/cache-events?after=" + polled.sequence;
        calls.send(
                HttpRequest.get(polled.origin(), path, TIMEOUT_MILLIS),
                result -> result.value().ifPresent(response -> accept(polled, response)));
    }

    private void accept(PolledServer polled, FullHttpResponse response) {
        if (response.status() == NOT_FOUND) {
            polled.pollsToSkip = SKIPPED_POLLS;
            return;
        }
        for (CacheEvent event : events(response)) {
            if (event.sequence() > polled.sequence) {
                polled.sequence = event.sequence();
                core.accept(new Observation.CacheChanged(event));
            }
        }
    }

    private static Optional<LoadReport> load(FullHttpResponse response) {
        return response.status() == OK ? read(response, LoadReport.class) : Optional.empty();
    }

    private static List<CacheEvent> events(FullHttpResponse response) {
        if (response.status() != OK) {
            return List.of();
        }
        return read(response, CacheEvent[].class).map(List::of).orElseGet(List::of);
    }

    private static <T> Optional<T> read(FullHttpResponse response, Class<T> type) {
        try {
            return Optional.ofNullable(Json.LENIENT.readValue(response.text(), type));
        } catch (JsonProcessingException _e) {
            return Optional.empty();
        }
    }
}
