package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.outside.cloud.HostList.Listing;
import org.geraniumstand.support.json.Json;

/** Stands in for the platform's host list and cloud API; docs/INTERFACES-platform.md gives their shape. */
public final class CloudStandin implements AutoCloseable {
    private static final String HOST_LIST = "/v1/hosts";
    private static final String CLOUD_HOSTS = "/v1/cloud/hosts";
    private static final int NOT_FOUND = 404;

    private final Switches<CloudSwitch> switches = Switches.of(CloudSwitch.class, () -> {});
    private final Deque<Dated> history = new ArrayDeque<>();
    private final CloudHosts hosts;
    private final HttpStandin http;

    private record Dated(Listing listing, long atMillis) {}

    private CloudStandin(int port, HostLauncher launcher) {
        this.hosts = new CloudHosts(switches, launcher, this::onRunning, this::onStopped);
        history.add(new Dated(new Listing(List.of(), List.of()), now()));
        this.http = HttpStandin.start(port, this::handle, switches);
    }

    /**
     * Starts the stand-in; hosts that are ordered run nothing.
     *
     * @param port port on loopback, zero for any
     */
    public static CloudStandin start(int port) {
        return start(port, HostLauncher.NONE);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     * @param launcher starts what runs on a host that is ordered
     */
    public static CloudStandin start(int port, HostLauncher launcher) {
        return new CloudStandin(port, launcher);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    /** Returns its settings and faults. */
    public Switches<CloudSwitch> switches() {
        return switches;
    }

    /** Returns what the list says without its lag. */
    public synchronized Listing listing() {
        return history.getLast().listing();
    }

    /**
     * Lists other servers and notices from now on.
     *
     * @param listing the list
     */
    public synchronized void list(Listing listing) {
        history.addLast(new Dated(listing, now()));
    }

    /**
     * Announces that hosts are taken back.
     *
     * @param reclaims the notices
     */
    public synchronized void announce(List<ReclaimNotice> reclaims) {
        List<ReclaimNotice> notices = new ArrayList<>(listing().notices());
        notices.addAll(reclaims);
        list(new Listing(listing().servers(), notices));
    }

    @Override
    public void close() {
        http.close();
        hosts.close();
    }

    private synchronized void onRunning(BackendServer server) {
        List<BackendServer> servers = new ArrayList<>(listing().servers());
        servers.add(server);
        list(new Listing(servers, listing().notices()));
    }

    private synchronized void onStopped(String host) {
        List<BackendServer> left = listing().servers().stream()
                .filter(server -> !server.host().value().equals(host))
                .toList();
        list(new Listing(left, listing().notices()));
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        if (switches.on(CloudSwitch.DOWN)) {
            HttpStandin.cut(exchange);
            return;
        }
        switches.pause(CloudSwitch.SLOW_MILLIS);
        String path = exchange.getRequestPath();
        if (path.startsWith(CLOUD_HOSTS)) {
            hosts.handle(exchange, path.substring(CLOUD_HOSTS.length()));
        } else if (path.equals(HOST_LIST)) {
            if (exchange.getRequestMethod().equalToString("PUT")) {
                list(Json.LENIENT.readValue(exchange.getInputStream(), Listing.class));
            }
            exchange.getResponseSender().send(Json.write(shown()));
        } else {
            exchange.setStatusCode(NOT_FOUND);
        }
    }

    private synchronized Listing shown() {
        long due = now() - switches.number(CloudSwitch.LAG_MILLIS);
        while (history.size() > 1 && second().atMillis() <= due) {
            history.removeFirst();
        }
        return history.getFirst().listing();
    }

    private Dated second() {
        return Optional.of(history).stream()
                .flatMap(Deque::stream)
                .skip(1)
                .findFirst()
                .orElseThrow();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
