package org.geraniumstand.standins;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Stands in for the platform's load balancer: forwards connections to entry hosts whose last readiness check passed. */
public final class BalancerStandin implements AutoCloseable {
    private static final int CHECK_TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    private final Supplier<List<Target>> targets;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledFuture<?> readinessChecks;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final TcpRelay relay;
    private volatile List<Target> readyTargets = List.of();

    /**
     * Identifies an entry host by its ports on loopback.
     *
     * @param callerPort port that accepts requests of callers
     * @param operatorPort port that serves readiness checks
     */
    public record Target(int callerPort, int operatorPort) {}

    private BalancerStandin(int port, Supplier<List<Target>> targets, long periodMillis) {
        this.targets = targets;
        this.readinessChecks =
                timer.scheduleWithFixedDelay(this::checkReadiness, 0, periodMillis, TimeUnit.MILLISECONDS);
        this.relay = TcpRelay.start(port, this::nextTarget);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     * @param targets supplies the current entry hosts
     * @param periodMillis milliseconds between readiness checks; a host that stops being ready still receives connections
     *     until the next check
     */
    public static BalancerStandin start(int port, Supplier<List<Target>> targets, long periodMillis) {
        return new BalancerStandin(port, targets, periodMillis);
    }

    /** Returns the port that the load balancer listens on. */
    public int port() {
        return relay.port();
    }

    /** Returns the relay that forwards the connections. */
    public TcpRelay relay() {
        return relay;
    }

    @Override
    public void close() {
        readinessChecks.cancel(true);
        timer.shutdownNow();
        relay.close();
    }

    private void checkReadiness() {
        readyTargets = targets.get().stream().filter(BalancerStandin::isReady).toList();
    }

    private Optional<InetSocketAddress> nextTarget() {
        List<Target> candidates = readyTargets;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Target target = candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size()));
        return Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), target.callerPort()));
    }

    private static boolean isReady(Target target) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + target.operatorPort() + "/readyz")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(CHECK_TIMEOUT_MILLIS);
            connection.setReadTimeout(CHECK_TIMEOUT_MILLIS);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == OK;
        } catch (IOException _e) {
            return false;
        }
    }
}
