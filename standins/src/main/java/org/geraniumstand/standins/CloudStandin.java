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

/** Stands in for the platform's host list and cloud API, which docs/INTERFACES-platform.md specifies. */
public final class CloudStandin implements AutoCloseable {
    private static final String HOST_LIST = "/v1/hosts";
    private static final String CLOUD_HOSTS = "/v1/cloud/hosts";
    private static final int NOT_FOUND = 404;

    private final Switches<CloudSwitch> switches = Switches.of(CloudSwitch.class, () -> {});
    private final Deque<TimestampedListing> history = new ArrayDeque<>();
    private final CloudHosts hosts;
    private final HttpStandin http;

    private record TimestampedListing(Listing listing, long atMillis) {}

    private CloudStandin(int port, HostLauncher launcher) {
        this.hosts = new CloudHosts(switches, launcher, this::onRunning, this::onStopped);
        history.add(new TimestampedListing(new Listing(List.of(), List.of()), now()));
        this.http = HttpStandin.start(port, this::handle, switches);
    }

    /**
     * Starts the stand-in; ordered hosts run no backend server.
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
     * @param launcher starts the backend servers of ordered hosts
     */
    public static CloudStandin start(int port, HostLauncher launcher) {
        return new CloudStandin(port, launcher);
    }

    /** Returns the port that the stand-in listens on. */
    public int port() {
        return http.port();
    }

    /** Returns the settings and faults of the stand-in. */
    public Switches<CloudSwitch> switches() {
        return switches;
    }

    /** Returns the current host list, without the configured lag. */
    public synchronized Listing listing() {
        return history.getLast().listing();
    }

    /**
     * Replaces the host list.
     *
     * @param listing the servers and reclaim notices
     */
    public synchronized void setListing(Listing listing) {
        history.addLast(new TimestampedListing(listing, now()));
    }

    /**
     * Adds reclaim notices to the host list.
     *
     * @param reclaims the reclaim notices
     */
    public synchronized void addReclaimNotices(List<ReclaimNotice> reclaims) {
        List<ReclaimNotice> notices = new ArrayList<>(listing().notices());
        notices.addAll(reclaims);
        setListing(new Listing(listing().servers(), notices));
    }

    @Override
    public void close() {
        http.close();
        hosts.close();
    }

    private synchronized void onRunning(BackendServer server) {
        List<BackendServer> servers = new ArrayList<>(listing().servers());
        servers.add(server);
        setListing(new Listing(servers, listing().notices()));
    }

    private synchronized void onStopped(String host) {
        List<BackendServer> remaining = listing().servers().stream()
                .filter(server -> !server.host().value().equals(host))
                .toList();
        setListing(new Listing(remaining, listing().notices()));
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        if (switches.isOn(CloudSwitch.DOWN)) {
            HttpStandin.disconnect(exchange);
            return;
        }
        switches.delay(CloudSwitch.SLOW_MILLIS);
        String path = exchange.getRequestPath();
        if (path.startsWith(CLOUD_HOSTS)) {
            hosts.handle(exchange, path.substring(CLOUD_HOSTS.length()));
        } else if (path.equals(HOST_LIST)) {
            if (exchange.getRequestMethod().equalToString("PUT")) {
                setListing(Json.LENIENT.readValue(exchange.getInputStream(), Listing.class));
            }
            exchange.getResponseSender().send(Json.write(laggedListing()));
        } else {
            exchange.setStatusCode(NOT_FOUND);
        }
    }

    private synchronized Listing laggedListing() {
        long cutoffMillis = now() - switches.number(CloudSwitch.LAG_MILLIS);
        while (history.size() > 1 && secondEntry().atMillis() <= cutoffMillis) {
            history.removeFirst();
        }
        return history.getFirst().listing();
    }

    private TimestampedListing secondEntry() {
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
