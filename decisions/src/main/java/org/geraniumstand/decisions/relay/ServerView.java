package org.geraniumstand.decisions.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.ServerLoad;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Moment;

/** What this process knows about a backend server; it belongs to one thread. */
public final class ServerView {
    /** Milliseconds for which a report load counts; it is as of some hundred milliseconds ago when it arrives. */
    private static final long LOAD_VALID_MILLIS = 1_500;

    /** First pause after a failed connection, in milliseconds; about ten round trips to another data centre. */
    private static final long FIRST_EJECTION_MILLIS = 250;

    /** Longest pause, in milliseconds; a server that came back is found again, and a dead one's entry lapses, within it. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** Milliseconds without any byte from a server that owes some after which it counts as silent. */
    private static final long UNRESPONSIVE_MILLIS = 900;

    /** Connections that break without an answer, one after the other, that speak against a server. */
    private static final int CONSECUTIVE_BROKEN_THRESHOLD = 2;

    private final long hash;
    private int consecutiveBroken;
    private RelayServer server;
    private String endpoint;
    private final ColdStateEstimate coldState;
    private long listedNanos;
    private int inFlight;
    private int unanswered;
    private double pendingTokens;
    private long lastByteNanos;
    private long awaitingSinceNanos;
    private Optional<RemoteCalls> reportedByServer = Optional.empty();
    private Optional<RemoteCalls> reportedByPeers = Optional.empty();
    private long ejectionMillis;
    private long ejectedUntilNanos;

    /** Calls of other processes at the server, and when they were report. */
    private record RemoteCalls(int calls, long atNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos < LOAD_VALID_MILLIS * Moment.NANOS_PER_MILLI;
        }
    }

    ServerView(RelayServer server, StoreStaleness storeStaleness, long nowNanos) {
        this.coldState = new ColdStateEstimate(storeStaleness, nowNanos);
        onListed(server, nowNanos);
        this.hash = Hash.of(server.id().value());
        this.lastByteNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
    }

    void onListed(RelayServer next, long nowNanos) {
        if (!next.equals(server)) {
            coldState.onEntryChanged(nowNanos);
        }
        server = next;
        endpoint = next.address() + ":" + next.port();
        listedNanos = nowNanos;
        coldState.onListed(next.coldMillis(), nowNanos);
    }

    /** Returns the server as listed last. */
    public RelayServer server() {
        return server;
    }

    /** Returns the address and port of the server. */
    String endpoint() {
        return endpoint;
    }

    /** Returns a hash of the server's name. */
    long hash() {
        return hash;
    }

    /** Returns whether the server's entry says that it is cold. */
    public boolean listedCold(long nowNanos) {
        return coldState.listedCold(nowNanos);
    }

    /** Returns whether the server, which offers a service, counts as cold. */
    boolean cold(RelayService service, long nowNanos) {
        return coldState.remainingColdNanos(service.coldMillis(), nowNanos) > 0;
    }

    /** Takes in that the server's data centre takes work again. */
    void onDataCentreRestored(long nowNanos) {
        coldState.onDataCentreRestored(nowNanos);
    }

    /** Returns what the server, which offers a service, is taken for where a number of processes share what it bears. */
    AssumedServerState assumedState(RelayService service, int processes, long nowNanos) {
        long coldNanos = coldState.remainingColdNanos(service.coldMillis(), nowNanos);
        // A part of a millisecond that is left still counts as cold.
        return new AssumedServerState(
                (coldNanos + Moment.NANOS_PER_MILLI - 1) / Moment.NANOS_PER_MILLI,
                (nowNanos - listedNanos) / Moment.NANOS_PER_MILLI,
                processes);
    }

    /** Returns the calls of this process at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the calls at the server, those of other processes as far as they are known. */
    public int load(long nowNanos) {
        return inFlight + freshCalls(reportedByServer, nowNanos);
    }

    private static int freshCalls(Optional<RemoteCalls> report, long nowNanos) {
        return report.filter(remote -> remote.isFresh(nowNanos))
                .map(RemoteCalls::calls)
                .orElse(0);
    }

    /** Returns the prompt tokens of this process that the server has yet to read. */
    public double pendingTokens() {
        return pendingTokens;
    }

    /** Takes in what other processes have in flight at the server, as an aggregator report. */
    void onRemoteInFlight(int calls, long nowNanos) {
        reportedByPeers = Optional.of(new RemoteCalls(calls, nowNanos));
    }

    /**
     * Returns the calls that take up places at the server, by the newer of what it report itself and what the other processes
     * have in flight.
     *
     * <p>It serves to find full servers. Servers are not compared by it: all processes hear the same figures at the same time,
     * and would all choose the server with the fewest until the next ones.
     */
    int occupiedSlots(long nowNanos) {
        boolean serverIsNewer = reportedByPeers.isEmpty()
                || reportedByServer
                        .filter(report -> report.atNanos() - reportedByPeers.get().atNanos() > 0)
                        .isPresent();
        return inFlight + freshCalls(serverIsNewer ? reportedByServer : reportedByPeers, nowNanos);
    }

    /** Returns whether the server should be left alone for now. */
    public boolean isEjected(long nowNanos) {
        return nowNanos - ejectedUntilNanos < 0 || isUnresponsive(nowNanos);
    }

    private boolean isUnresponsive(long nowNanos) {
        return unanswered > 0
                && lastByteNanos - awaitingSinceNanos < 0
                && nowNanos - awaitingSinceNanos > UNRESPONSIVE_MILLIS * Moment.NANOS_PER_MILLI;
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
    }

    /** Notes that bytes came from the server. */
    public void onBytes(long nowNanos) {
        lastByteNanos = nowNanos;
    }

    void onReleased(double tokens) {
        inFlight = Math.max(0, inFlight - 1);
        pendingTokens = Math.max(0, pendingTokens - tokens);
        unanswered = Math.min(unanswered, inFlight);
    }

    void onLoad(ServerLoad load, long nowNanos) {
        reportedByServer = Optional.of(new RemoteCalls(Math.max(0, load.running() + load.waiting() - inFlight), nowNanos));
    }

    /** Leaves the server alone until its entry has surely lapsed, as another one has its address. */
    void onReplaced(long nowNanos) {
        ejectedUntilNanos = nowNanos + MAX_EJECTION_MILLIS * Moment.NANOS_PER_MILLI;
    }

    /** Counts how an attempt ended and returns whether it speaks against the server. */
    boolean recordEnd(AttemptEnd end) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED || end == AttemptEnd.DECLINED) {
            return false;
        }
        consecutiveBroken++;
        boolean unreachable = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.SILENT;
        return unreachable || (end == AttemptEnd.BROKEN && consecutiveBroken >= CONSECUTIVE_BROKEN_THRESHOLD);
    }

    /** Takes in that this process could no longer reach the server. */
    void onLost(long nowNanos) {
        coldState.onLost(nowNanos);
    }

    /** Takes in that another process could no longer reach the server. */
    void onLostRemotely(long atNanos) {
        coldState.onLostByAnyProcess(atNanos);
    }

    /** Returns when this process lost the server, on the monotonic clock in nanoseconds, if it did since the server was known to be up. */
    OptionalLong lostLocallyNanos() {
        return coldState.lostLocallyNanos();
    }

    /** Leaves the server alone for a while that doubles with each failure in a row. */
    void eject(long nowNanos) {
        ejectionMillis = ejectionMillis == 0 ? FIRST_EJECTION_MILLIS : Math.min(MAX_EJECTION_MILLIS, 2 * ejectionMillis);
        ejectedUntilNanos = nowNanos + ejectionMillis * Moment.NANOS_PER_MILLI;
    }
}
