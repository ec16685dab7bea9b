package org.geraniumstand.decisions.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.ServerLoad;
import org.geraniumstand.model.relay.SlownessNews;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Timestamp;

/** Tracks the state of a backend server as seen by this process. Not thread-safe. */
public final class ServerView {
    /** Milliseconds for which a reported load is used; a report is some hundred milliseconds old when it arrives. */
    private static final long LOAD_VALID_MILLIS = 1_500;

    /**
     * First ejection period after a failed connection, in milliseconds; about ten round trips to another data centre.
     */
    private static final long FIRST_EJECTION_MILLIS = 250;

    /**
     * Maximum ejection period, in milliseconds; within it a recovered server is tried again, and the entry of a dead
     * one expires.
     */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** Milliseconds without a byte from a server with unanswered calls after which it counts as unresponsive. */
    private static final long UNRESPONSIVE_MILLIS = 900;

    /** Number of consecutive connections broken without an answer after which a server is ejected. */
    private static final int CONSECUTIVE_BROKEN_THRESHOLD = 2;

    /** Factor from the usual time beyond which statements count as this factor, so that an absurd one spoils no mean. */
    private static final double MAX_SLOWNESS = 10;

    private final long hash;
    private int consecutiveBroken;
    private RelayServer server;
    private String endpoint;
    private final ColdStateEstimate coldState;
    private long listedNanos;
    private int inFlight;
    private int unanswered;
    private double pendingTokens;
    private long heldTokens;
    private long lastByteNanos;
    private long awaitingSinceNanos;
    private Optional<RemoteCalls> reportedByServer = Optional.empty();
    private Optional<RemoteCalls> reportedByPeers = Optional.empty();
    private long remotePendingTokens;
    private final SlownessForecast slownessForecast;
    private OptionalDouble slowness = OptionalDouble.empty();
    private long slownessNanos;
    private boolean slownessToldByServer;
    private boolean replaced;
    private final GoneServer gone = new GoneServer();
    private long ejectionMillis;
    private long ejectedUntilNanos;

    /** Holds the number of calls of other processes at the server and the time of the report. */
    private record RemoteCalls(int calls, long atNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos < LOAD_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        }
    }

    ServerView(RelayServer server, StoreStaleness storeStaleness, SlownessForecast slownessForecast, long nowNanos) {
        this.slownessForecast = slownessForecast;
        this.coldState = new ColdStateEstimate(storeStaleness, nowNanos);
        onListed(server, nowNanos);
        this.hash = Hash.of(server.id().value());
        this.lastByteNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
    }

    void onListed(RelayServer next, long nowNanos) {
        if (!next.equals(server)) {
            coldState.onEntryChanged(nowNanos);
            gone.onUp(nowNanos);
        }
        server = next;
        endpoint = next.endpoint();
        listedNanos = nowNanos;
        coldState.onListed(next.coldRemainingMillis(), nowNanos);
    }

    /** Returns the content of the server's latest entry. */
    public RelayServer server() {
        return server;
    }

    /** Returns the address and port of the server. */
    public String endpoint() {
        return endpoint;
    }

    /** Returns a hash of the server's id. */
    long hash() {
        return hash;
    }

    /** Returns whether the server's entry reports it as cold. */
    public boolean listedCold(long nowNanos) {
        return coldState.listedCold(nowNanos);
    }

    /** Returns whether the server is estimated to be cold for a service. */
    boolean cold(RelayService service, long nowNanos) {
        return coldState.remainingColdNanos(service.coldMillis(), nowNanos) > 0;
    }

    /** Records that the server's data centre is back in service. */
    void onDataCentreRestored(long nowNanos) {
        coldState.onDataCentreRestored(nowNanos);
    }

    /**
     * Returns the state that the server is assumed to be in, for the given number of processes that share its rate
     * limit.
     */
    AssumedServerState assumedState(RelayService service, int processes, OptionalDouble namedPerSecond, long nowNanos) {
        long coldNanos = coldState.remainingColdNanos(service.coldMillis(), nowNanos);
        // Rounds up, because a remaining fraction of a millisecond still counts as cold.
        return new AssumedServerState(
                (coldNanos + Timestamp.NANOS_PER_MILLI - 1) / Timestamp.NANOS_PER_MILLI,
                (nowNanos - listedNanos) / Timestamp.NANOS_PER_MILLI,
                processes,
                namedPerSecond);
    }

    /** Returns the number of calls that this process has in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the number of calls at the server, including those of other processes as the server last reported them.
     */
    public int load(long nowNanos) {
        return inFlight + freshCalls(reportedByServer, nowNanos);
    }

    private static int freshCalls(Optional<RemoteCalls> report, long nowNanos) {
        return report.filter(remote -> remote.isFresh(nowNanos))
                .map(RemoteCalls::calls)
                .orElse(0);
    }

    /** Returns the prompt tokens sent by this process that the server has not yet processed. */
    public double pendingTokens() {
        return pendingTokens;
    }

    /**
     * Returns the prompt tokens that the server has not yet processed, of this process and, as last reported, of all others.
     */
    double allPendingTokens(long nowNanos) {
        boolean fresh =
                reportedByPeers.filter(report -> report.isFresh(nowNanos)).isPresent();
        return pendingTokens + (fresh ? remotePendingTokens : 0);
    }

    /** Returns the unprocessed prompt tokens of other processes as last reported, or empty if that isn't known. */
    OptionalDouble remotePendingTokens(long nowNanos) {
        return othersKnown(nowNanos) ? OptionalDouble.of((double) remotePendingTokens) : OptionalDouble.empty();
    }

    /** Returns how old the figures of other processes are, in milliseconds. */
    double remoteAgeMillis(long nowNanos) {
        return reportedByPeers
                .map(report -> (double) (nowNanos - report.atNanos()) / Timestamp.NANOS_PER_MILLI)
                .orElse(0.0);
    }

    /** Returns whether it is known how many calls other processes have at the server. */
    boolean othersKnown(long nowNanos) {
        return reportedByPeers.filter(report -> report.isFresh(nowNanos)).isPresent();
    }

    /**
     * Returns the tokens of memory that calls take at the server; those of other processes are taken to be as large as the
     * ones of this process.
     */
    long heldTokens(long nowNanos) {
        return inFlight == 0 ? 0 : heldTokens * Math.max(inFlight, occupiedSlots(nowNanos)) / inFlight;
    }

    /** Records that a call takes tokens of the server's memory, or, if negative, that it no longer does. */
    void addHeldTokens(long tokens) {
        heldTokens += tokens;
    }

    /**
     * Returns how long work is expected to take at the server, as a multiple of the usual time, from what it last stated
     * and how long ago.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public double slowness(long nowNanos) {
        return slowness.isEmpty()
                ? slownessForecast.mean()
                : slownessForecast.expected(slowness.getAsDouble(), slownessAgeMillis(nowNanos));
    }

    private double slownessAgeMillis(long nowNanos) {
        return (double) (nowNanos - slownessNanos) / Timestamp.NANOS_PER_MILLI;
    }

    /** Returns what the server recently stated of its host in an answer to this process. */
    Optional<SlownessNews> slownessNews(long nowNanos) {
        boolean fresh = nowNanos - slownessNanos < LOAD_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        // What peers told is not told on, as its age would lose the time it was under way each time.
        return fresh && slownessToldByServer && slowness.isPresent()
                ? Optional.of(new SlownessNews(
                        (int) Math.round(100 * slowness.getAsDouble()), Math.round(slownessAgeMillis(nowNanos))))
                : Optional.empty();
    }

    /** Records what a peer heard of the server's host, unless this process heard something newer. */
    void onSlownessNews(SlownessNews news, long nowNanos) {
        if (news.ageMillis() < 0 || news.ageMillis() > LOAD_VALID_MILLIS) {
            return;
        }
        long statedNanos = nowNanos - news.ageMillis() * Timestamp.NANOS_PER_MILLI;
        if (slowness.isEmpty() || statedNanos - slownessNanos > 0) {
            onSlowness(news.percent() / 100.0, statedNanos);
            slownessToldByServer = false;
        }
    }

    private void onSlowness(double unbounded, long statedNanos) {
        double stated = Math.max(1 / MAX_SLOWNESS, Math.min(MAX_SLOWNESS, unbounded));
        slownessForecast.onStated(stated);
        if (slowness.isPresent()) {
            slownessForecast.onStatedAgain(slowness.getAsDouble(), stated, slownessAgeMillis(statedNanos));
        }
        slowness = OptionalDouble.of(stated);
        slownessNanos = statedNanos;
    }

    /** Records the calls that other processes have in flight at the server, as reported by an aggregator. */
    void onRemoteInFlight(int calls, long tokens, long nowNanos) {
        reportedByPeers = Optional.of(new RemoteCalls(calls, nowNanos));
        remotePendingTokens = tokens;
    }

    /**
     * Returns the number of slots in use at the server, from the newer of the server's own report and the peers'
     * in-flight calls.
     *
     * <p>Use this figure to detect full servers, not to compare servers: all processes receive the same figures at the
     * same time and would all select the least loaded server until the next report.
     */
    int occupiedSlots(long nowNanos) {
        boolean serverIsNewer = reportedByPeers.isEmpty()
                || reportedByServer
                        .filter(report ->
                                report.atNanos() - reportedByPeers.get().atNanos() > 0)
                        .isPresent();
        return inFlight + freshCalls(serverIsNewer ? reportedByServer : reportedByPeers, nowNanos);
    }

    /** Returns whether the server is avoided because other processes could not connect to it. */
    boolean avoided(long nowNanos) {
        return gone.avoided(nowNanos);
    }

    /** Returns whether the server is ejected from selection, unresponsive or avoided. */
    public boolean isEjected(long nowNanos) {
        return nowNanos - ejectedUntilNanos < 0 || isUnresponsive(nowNanos) || avoided(nowNanos);
    }

    private boolean isUnresponsive(long nowNanos) {
        return unanswered > 0
                && lastByteNanos - awaitingSinceNanos < 0
                && nowNanos - awaitingSinceNanos > UNRESPONSIVE_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    void onSent(double tokens, long nowNanos) {
        if (unanswered == 0 || lastByteNanos - awaitingSinceNanos > 0) {
            awaitingSinceNanos = nowNanos;
        }
        inFlight++;
        unanswered++;
        pendingTokens += tokens;
    }

    void onStarted(double tokens, long nowNanos) {
        unanswered = Math.max(0, unanswered - 1);
        pendingTokens = Math.max(0, pendingTokens - tokens);
        onBytes(nowNanos);
        ejectionMillis = 0;
        consecutiveBroken = 0;
        coldState.onAnswered(nowNanos);
        gone.onUp(nowNanos);
    }

    /** Records that bytes arrived from the server. */
    public void onBytes(long nowNanos) {
        lastByteNanos = nowNanos;
    }

    void onReleased(double tokens) {
        inFlight = Math.max(0, inFlight - 1);
        pendingTokens = Math.max(0, pendingTokens - tokens);
        unanswered = Math.min(unanswered, inFlight);
    }

    void onLoad(ServerLoad load, long nowNanos) {
        reportedByServer =
                Optional.of(new RemoteCalls(Math.max(0, load.running() + load.waiting() - inFlight), nowNanos));
        if (load.slowness().isPresent()) {
            onSlowness(load.slowness().getAsDouble(), nowNanos);
            slownessToldByServer = true;
        }
    }

    /** Ejects the server until its entry has certainly expired, because another server uses its address. */
    void onReplaced(long nowNanos) {
        replaced = true;
        ejectedUntilNanos = nowNanos + MAX_EJECTION_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /** Returns whether another process has answered at the server's address. */
    boolean wasReplaced() {
        return replaced;
    }

    /** Records how an attempt ended and returns whether the server should be ejected. */
    boolean recordEnd(AttemptEnd end) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED || end == AttemptEnd.DECLINED) {
            return false;
        }
        consecutiveBroken++;
        boolean unreachable = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.SILENT;
        return unreachable || (end == AttemptEnd.BROKEN && consecutiveBroken >= CONSECUTIVE_BROKEN_THRESHOLD);
    }

    /** Records that this process lost contact with the server. */
    void onLost(long nowNanos) {
        coldState.onLost(nowNanos);
    }

    /** Records that this process could not connect to the server. */
    void onNotConnected(long nowNanos) {
        gone.onNotConnected(nowNanos);
    }

    /** Returns when this process could not connect to the server if that was a moment ago, in nanoseconds. */
    OptionalLong notConnectedNanos(long nowNanos) {
        return gone.notConnectedNanos(nowNanos);
    }

    /** Records that another process lost contact with the server. */
    void onLostRemotely(long atNanos) {
        coldState.onLostByAnyProcess(atNanos);
    }

    /** Records how many processes could not connect to the server, and when the last of them tried. */
    void onNotConnectedRemotely(long atNanos, int processes) {
        gone.onNotConnectedRemotely(atNanos, processes);
    }

    /**
     * Returns when this process lost contact with the server, on the monotonic clock in nanoseconds, or empty if the
     * server has been up since.
     */
    OptionalLong lostLocallyNanos() {
        return coldState.lostLocallyNanos();
    }

    /** Ejects the server for a period that doubles with each consecutive failure. */
    void eject(long nowNanos) {
        ejectionMillis =
                ejectionMillis == 0 ? FIRST_EJECTION_MILLIS : Math.min(MAX_EJECTION_MILLIS, 2 * ejectionMillis);
        ejectedUntilNanos = nowNanos + ejectionMillis * Timestamp.NANOS_PER_MILLI;
    }
}
