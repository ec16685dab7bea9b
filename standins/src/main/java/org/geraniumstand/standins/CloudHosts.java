package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.standins.HostLauncher.HostOrder;
import org.geraniumstand.standins.HostLauncher.Launched;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.json.Json;

/** Tracks the hosts that were ordered from the cloud, and starts and stops them. */
final class CloudHosts implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Switches<CloudSwitch> switches;
    private final HostLauncher launcher;
    private final Consumer<BackendServer> onRunning;
    private final Consumer<String> onStopped;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Host> hosts = new TreeMap<>();
    private long highestFencingToken;

    private record Host(HostOrder order, ScheduledFuture<?> start, Launched launched) {}

    private record HostView(
            String host,
            String dataCentre,
            String hostClass,
            boolean reclaimable,
            String service,
            String version,
            String state) {}

    private record HostListView(List<HostView> hosts) {}

    CloudHosts(
            Switches<CloudSwitch> switches,
            HostLauncher launcher,
            Consumer<BackendServer> onRunning,
            Consumer<String> onStopped) {
        this.switches = switches;
        this.launcher = launcher;
        this.onRunning = onRunning;
        this.onStopped = onStopped;
    }

    void handle(HttpServerExchange exchange, String rest) throws IOException {
        String host = rest.isEmpty() ? "" : rest.substring(1);
        if (exchange.getRequestMethod().equalToString("PUT")) {
            exchange.setStatusCode(order(host, Json.LENIENT.readValue(exchange.getInputStream(), HostOrder.class)));
        } else if (exchange.getRequestMethod().equalToString("DELETE")) {
            exchange.setStatusCode(stop(host, Long.parseLong(HttpStandin.queryParameter(exchange, "fence"))));
        } else {
            exchange.getResponseSender().send(Json.write(view()));
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        try (Closer closer = new Closer()) {
            synchronized (this) {
                hosts.values().stream()
                        .filter(host -> host.launched() != null)
                        .forEach(host -> closer.add(host.launched().process()));
            }
        }
    }

    private synchronized int order(String host, HostOrder order) {
        if (isStale(order.fence())) {
            return CONFLICT;
        }
        if (hosts.containsKey(host)) {
            return 200;
        }
        if (order.hostClass().equals(switches.text(CloudSwitch.REFUSE_CLASS))
                || switches.applies(CloudSwitch.REFUSE_STARTS)) {
            return UNAVAILABLE;
        }
        ScheduledFuture<?> start = timer.schedule(
                () -> launch(host, order), switches.number(CloudSwitch.STARTING_MILLIS), TimeUnit.MILLISECONDS);
        hosts.put(host, new Host(order, start, null));
        return 200;
    }

    private synchronized void launch(String host, HostOrder order) {
        Host starting = hosts.get(host);
        if (starting == null) {
            return;
        }
        Launched launched = launcher.launch(host, order);
        hosts.put(host, new Host(order, starting.start(), launched));
        if (launched != null) {
            onRunning.accept(launched.server());
        }
    }

    private synchronized int stop(String host, long fencingToken) {
        if (isStale(fencingToken)) {
            return CONFLICT;
        }
        Host removed = hosts.remove(host);
        if (removed == null) {
            return NOT_FOUND;
        }
        removed.start().cancel(false);
        onStopped.accept(host);
        if (removed.launched() != null) {
            try (Closer closer = new Closer()) {
                closer.add(removed.launched().process());
            }
        }
        return 200;
    }

    private boolean isStale(long fencingToken) {
        boolean stale = switches.isOn(CloudSwitch.FENCING) && fencingToken < highestFencingToken;
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        return stale;
    }

    private synchronized HostListView view() {
        return new HostListView(hosts.entrySet().stream()
                .map(entry -> {
                    HostOrder order = entry.getValue().order();
                    return new HostView(
                            entry.getKey(),
                            order.dataCentre(),
                            order.hostClass(),
                            order.reclaimable(),
                            order.service(),
                            order.version(),
                            entry.getValue().start().isDone() ? "RUNNING" : "STARTING");
                })
                .toList());
    }
}
