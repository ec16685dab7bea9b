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
    /** Milliseconds for which a told load counts; it is as of some hundred milliseconds ago when it arrives. */
    private static final long LOAD_MILLIS = 1_500;

    /** First pause after a failed connection, in milliseconds; about ten round trips to another data centre. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    /** Longest pause, in milliseconds; a server that came back is found again, and a dead one's entry lapses, within it. */
    private static final long LONGEST_PAUSE_MILLIS = 4_000;

    /** Milliseconds without any byte from a server that owes some after which it counts as silent. */
    private static final long SILENT_MILLIS = 900;

    /** Connections that break without an answer, one after the other, that speak against a server. */
    private static final int BROKEN_IN_ROW = 2;

    private final long hash;
    private int brokenInRow;
    private RelayServer server;
    private String place;
    private final ColdBelief coldBelief;
    private long listedNanos;
    private int inFlight;
    private int unanswered;
    private double pendingTokens;
    private long lastByteNanos;
    private long oweSinceNanos;
    private Optional<OthersCalls> toldByServer = Optional.empty();
    private Optional<OthersCalls> toldByPeers = Optional.empty();
    private long pauseMillis;
    private long pausedUntilNanos;

    /** Calls of other processes at the server, and when they were told. */
    private record OthersCalls(int calls, long atNanos) {
        boolean fresh(long nowNanos) {
            return nowNanos - atNanos < LOAD_MILLIS * Moment.NANOS_PER_MILLI;
        }
    }

    ServerView(RelayServer server, StoreSilence silence, long nowNanos) {
        this.coldBelief = new ColdBelief(silence, nowNanos);
        list(server, nowNanos);
        this.hash = Hash.of(server.id().value());
        this.lastByteNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
    }

    void list(RelayServer next, long nowNanos) {
        if (!next.equals(server)) {
            coldBelief.onNews(nowNanos);
        }
        server = next;
        place = next.address() + ":" + next.port();
        listedNanos = nowNanos;
        coldBelief.onListed(next.coldMillis(), nowNanos);
    }

    /** Returns the server as listed last. */
    public RelayServer server() {
        return server;
    }

    /** Returns the address and port of the server. */
    String place() {
        return place;
    }

    /** Returns a hash of the server's name. */
    long hash() {
        return hash;
    }

    /** Returns whether the server's entry says that it is cold. */
    public boolean listedCold(long nowNanos) {
        return coldBelief.listed(nowNanos);
    }

    /** Returns whether the server, which offers a service, counts as cold. */
    boolean cold(RelayService service, long nowNanos) {
        return coldBelief.leftNanos(service.coldMillis(), nowNanos) > 0;
    }

    /** Takes in that the server's data centre takes work again. */
    void onTakenBackIn(long nowNanos) {
        coldBelief.onTakenBackIn(nowNanos);
    }

    /** Returns what the server, which offers a service, is taken for where a number of processes share what it bears. */
    ServerBelief belief(RelayService service, int processes, long nowNanos) {
        long coldNanos = coldBelief.leftNanos(service.coldMillis(), nowNanos);
        // A part of a millisecond that is left still counts as cold.
        return new ServerBelief(
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
        return inFlight + calls(toldByServer, nowNanos);
    }

    private static int calls(Optional<OthersCalls> told, long nowNanos) {
        return told.filter(others -> others.fresh(nowNanos))
                .map(OthersCalls::calls)
                .orElse(0);
    }

    /** Returns the prompt tokens of this process that the server has yet to read. */
    public double pendingTokens() {
        return pendingTokens;
    }

    /** Takes in what other processes have in flight at the server, as an aggregator told. */
    void onOthers(int calls, long nowNanos) {
        toldByPeers = Optional.of(new OthersCalls(calls, nowNanos));
    }

    /**
     * Returns the calls that take up places at the server, by the newer of what it told itself and what the other processes
     * have in flight.
     *
     * <p>It serves to find full servers. Servers are not compared by it: all processes hear the same figures at the same time,
     * and would all choose the server with the fewest until the next ones.
     */
    int occupied(long nowNanos) {
        boolean serverLast = toldByPeers.isEmpty()
                || toldByServer
                        .filter(told -> told.atNanos() - toldByPeers.get().atNanos() > 0)
                        .isPresent();
        return inFlight + calls(serverLast ? toldByServer : toldByPeers, nowNanos);
    }

    /** Returns whether the server should be left alone for now. */
    public boolean paused(long nowNanos) {
        return nowNanos - pausedUntilNanos < 0 || silent(nowNanos);
    }

    private boolean silent(long nowNanos) {
        return unanswered > 0
                && lastByteNanos - oweSinceNanos < 0
                && nowNanos - oweSinceNanos > SILENT_MILLIS * Moment.NANOS_PER_MILLI;
    }

    void onSent(double tokens, long nowNanos) {
        if (unanswered == 0 || lastByteNanos - oweSinceNanos > 0) {
            oweSinceNanos = nowNanos;
        }
        inFlight++;
        unanswered++;
        pendingTokens += tokens;
    }

    void onStarted(double tokens, long nowNanos) {
        unanswered = Math.max(0, unanswered - 1);
        pendingTokens = Math.max(0, pendingTokens - tokens);
        onBytes(nowNanos);
        pauseMillis = 0;
        brokenInRow = 0;
        coldBelief.onAnswered(nowNanos);
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
        toldByServer = Optional.of(new OthersCalls(Math.max(0, load.running() + load.waiting() - inFlight), nowNanos));
    }

    /** Leaves the server alone until its entry has surely lapsed, as another one has its address. */
    void onReplaced(long nowNanos) {
        pausedUntilNanos = nowNanos + LONGEST_PAUSE_MILLIS * Moment.NANOS_PER_MILLI;
    }

    /** Counts how an attempt ended and returns whether it speaks against the server. */
    boolean unwell(AttemptEnd end) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED || end == AttemptEnd.DECLINED) {
            return false;
        }
        brokenInRow++;
        boolean gone = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.SILENT;
        return gone || (end == AttemptEnd.BROKEN && brokenInRow >= BROKEN_IN_ROW);
    }

    /** Takes in that this process could no longer reach the server. */
    void onLost(long nowNanos) {
        coldBelief.onLost(nowNanos);
    }

    /** Takes in that another process could no longer reach the server. */
    void onLostByOther(long atNanos) {
        coldBelief.onLostByAny(atNanos);
    }

    /** Returns when this process lost the server, on the monotonic clock in nanoseconds, if it did since the server was known to be up. */
    OptionalLong lostHereNanos() {
        return coldBelief.lostHereNanos();
    }

    /** Leaves the server alone for a while that doubles with each failure in a row. */
    void pause(long nowNanos) {
        pauseMillis = pauseMillis == 0 ? FIRST_PAUSE_MILLIS : Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        pausedUntilNanos = nowNanos + pauseMillis * Moment.NANOS_PER_MILLI;
    }
}
