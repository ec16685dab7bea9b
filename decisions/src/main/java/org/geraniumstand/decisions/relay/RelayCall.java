package org.geraniumstand.decisions.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayTeam;

/** A caller's request and how far it has come; it belongs to one thread. */
public final class RelayCall {
    private final long number;
    private final CallerHead head;
    private final RelayRoute route;
    private final Optional<RelayTeam> team;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final Set<ServerId> tried = new HashSet<>();
    private ServiceId service;
    private ServerView server;
    private int attempts;
    private long sentNanos;
    private double pendingTokens;
    private boolean mayHaveRun;
    private boolean relayed;

    /**
     * Creates a call that no server has seen.
     *
     * @param number names the call in this process
     * @param head what its head says
     * @param route its route
     * @param team its team, if its caller showed a key
     * @param arrivedNanos when its head arrived, on the monotonic clock in nanoseconds
     * @param deadlineNanos when its answer is due, on the monotonic clock in nanoseconds
     */
    public RelayCall(
            long number,
            CallerHead head,
            RelayRoute route,
            Optional<RelayTeam> team,
            long arrivedNanos,
            long deadlineNanos) {
        this.number = number;
        this.head = head;
        this.route = route;
        this.team = team;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns the call's number in this process. */
    public long number() {
        return number;
    }

    /** Returns what the call's head says. */
    public CallerHead head() {
        return head;
    }

    /** Returns the call's route. */
    public RelayRoute route() {
        return route;
    }

    /** Returns the call's team, if its caller showed a key. */
    public Optional<RelayTeam> team() {
        return team;
    }

    /** Returns when the call's head arrived, on the monotonic clock in nanoseconds. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns when the call's answer is due, on the monotonic clock in nanoseconds. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the rank of the call, zero first; that of the team goes before that of the route. */
    public int priority() {
        return team.map(t -> t.priority().orElse(route.priority())).orElseGet(route::priority);
    }

    /** Returns the service that the call goes to. */
    public ServiceId service() {
        return service;
    }

    void setService(ServiceId next) {
        service = next;
    }

    /** Returns the server that has the call, or null while it waits. */
    public ServerView server() {
        return server;
    }

    /** Returns how many servers the call was sent to. */
    public int attempts() {
        return attempts;
    }

    /** Returns when the call was last sent, on the monotonic clock in nanoseconds. */
    public long sentNanos() {
        return sentNanos;
    }

    /** Returns whether a server may have run the call. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether a part of an answer was passed on to the caller. */
    public boolean relayed() {
        return relayed;
    }

    /** Notes that a part of an answer was passed on to the caller. */
    public void onRelayed() {
        relayed = true;
    }

    boolean tried(ServerId id) {
        return tried.contains(id);
    }

    void send(ServerView next, double tokens, long nowNanos) {
        server = next;
        attempts++;
        sentNanos = nowNanos;
        pendingTokens = tokens;
        tried.add(next.server().id());
        next.onSent(tokens, nowNanos);
    }

    /** Notes the first sign of the server's work on the call. */
    void onStarted(long nowNanos) {
        if (server != null) {
            server.onStarted(pendingTokens, nowNanos);
            pendingTokens = 0;
        }
    }

    /** Takes the call back from its server, which was not sent any part of it. */
    void withdraw() {
        attempts--;
        release(false);
    }

    /** Takes the call back from its server. */
    void release(boolean possiblyRan) {
        if (server != null) {
            server.onReleased(pendingTokens);
            pendingTokens = 0;
            server = null;
        }
        mayHaveRun |= possiblyRan;
    }
}
