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

/** Stands in for the platform's balancer: relays connections to entry hosts whose last check found them ready. */
public final class BalancerStandin implements AutoCloseable {
    private static final int CHECK_TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    private final Supplier<List<Target>> targets;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledFuture<?> checks;
    private final AtomicInteger turn = new AtomicInteger();
    private final TcpRelay relay;
    private volatile List<Target> ready = List.of();

    /**
     * An entry host.
     *
     * @param callerPort port for callers
     * @param operatorPort port that answers readiness checks
     */
    public record Target(int callerPort, int operatorPort) {}

    private BalancerStandin(int port, Supplier<List<Target>> targets, long periodMillis) {
        this.targets = targets;
        this.checks = timer.scheduleWithFixedDelay(this::check, 0, periodMillis, TimeUnit.MILLISECONDS);
        this.relay = TcpRelay.start(port, this::next);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     * @param targets the entry hosts now
     * @param periodMillis milliseconds between checks; a host that is not ready gets connections for so long
     */
    public static BalancerStandin start(int port, Supplier<List<Target>> targets, long periodMillis) {
        return new BalancerStandin(port, targets, periodMillis);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return relay.port();
    }

    /** Returns the relay that carries its connections. */
    public TcpRelay relay() {
        return relay;
    }

    @Override
    public void close() {
        checks.cancel(true);
        timer.shutdownNow();
        relay.close();
    }

    private void check() {
        ready = targets.get().stream().filter(BalancerStandin::isReady).toList();
    }

    private Optional<InetSocketAddress> next() {
        List<Target> now = ready;
        if (now.isEmpty()) {
            return Optional.empty();
        }
        Target target = now.get(Math.floorMod(turn.getAndIncrement(), now.size()));
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
