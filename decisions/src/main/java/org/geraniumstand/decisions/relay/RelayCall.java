package org.geraniumstand.decisions.relay;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServicePart;

/** Tracks a caller's request and its attempts at servers. Not thread-safe. */
public final class RelayCall {
    /** Most parts of a prompt that are compared with those of other calls. */
    private static final int MAX_SHARED_PARTS = 32;

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
    private double uncachedTokens;
    private double tokensAhead;
    private int callsAhead;
    private boolean speedLearned;
    private OptionalDouble expectedMillis = OptionalDouble.empty();
    private double ownMillis;
    private boolean mayHaveRun;
    private boolean relayed;
    private boolean positionKnown = true;
    private boolean withinLimit;
    private OptionalLong beganNanos = OptionalLong.empty();
    private boolean sound;
    private Set<ServicePart> sharedParts;
    private int suspiciousEnds;

    /**
     * Creates a call without attempts.
     *
     * @param number identifies the call within this process
     * @param head the parsed head of the request
     * @param route the route that matched the request
     * @param team its team, if the caller presented a key
     * @param arrivedNanos when the head arrived, on the monotonic clock in nanoseconds
     * @param deadlineNanos when the answer is due, on the monotonic clock in nanoseconds
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

    /** Returns the number that identifies the call within this process. */
    public long number() {
        return number;
    }

    /** Returns the parsed head of the request. */
    public CallerHead head() {
        return head;
    }

    /** Returns the call's route. */
    public RelayRoute route() {
        return route;
    }

    /** Returns the call's team, if the caller presented a key. */
    public Optional<RelayTeam> team() {
        return team;
    }

    /** Returns when the head arrived, on the monotonic clock in nanoseconds. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns when the answer is due, on the monotonic clock in nanoseconds. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the priority of the call, where zero is the highest; the team's priority overrides the route's. */
    public int priority() {
        return team.map(t -> t.priority().orElse(route.priority())).orElseGet(route::priority);
    }

    /** Returns the service that the call is routed to. */
    public ServiceId service() {
        return service;
    }

    void setService(ServiceId next) {
        service = next;
    }

    /** Returns the server that handles the call, or null while the call is queued. */
    public ServerView server() {
        return server;
    }

    /** Returns the number of attempts. */
    public int attempts() {
        return attempts;
    }

    /** Returns when the last attempt was sent, on the monotonic clock in nanoseconds. */
    public long sentNanos() {
        return sentNanos;
    }

    /** Returns whether a server may have run the call. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether part of an answer has been relayed to the caller. */
    public boolean relayed() {
        return relayed;
    }

    /** Records that part of an answer has been relayed to the caller. */
    public void onRelayed() {
        relayed = true;
    }

    /** Returns whether a server can be told after which event to resume what has been relayed. */
    boolean positionKnown() {
        return positionKnown;
    }

    /**
     * Records whether a server can be told after which event to resume what has been relayed.
     *
     * @param next whether the last event relayed had an id
     */
    public void setPositionKnown(boolean next) {
        positionKnown = next;
    }

    /** Returns whether the current attempt was counted against the limit of its server. */
    boolean withinLimit() {
        return withinLimit;
    }

    void setWithinLimit(boolean next) {
        withinLimit = next;
    }

    boolean tried(ServerId id) {
        return tried.contains(id);
    }

    void send(ServerView next, double tokens, long nowNanos) {
        server = next;
        attempts++;
        sentNanos = nowNanos;
        pendingTokens = tokens;
        uncachedTokens = tokens;
        tokensAhead = next.allPendingTokens(nowNanos);
        callsAhead = next.occupiedSlots(nowNanos);
        speedLearned = false;
        beganNanos = OptionalLong.empty();
        sound = false;
        tried.add(next.server().id());
        next.onSent(tokens, nowNanos);
        next.addHeldTokens(CallNeeds.heldTokens(this));
    }

    /**
     * Records after how many milliseconds the answer of the current attempt is expected to begin.
     *
     * @param next the milliseconds
     * @param own the milliseconds that it would take at an idle server
     */
    void setExpectedMillis(double next, double own) {
        expectedMillis = OptionalDouble.of(next);
        ownMillis = own;
    }

    /** Returns the milliseconds after which an idle server would begin to answer the current attempt. */
    double ownMillis() {
        return ownMillis;
    }

    /** Returns what was expected if the answer of the current attempt hasn't been compared with it yet. */
    OptionalDouble takeExpectedMillis() {
        OptionalDouble taken = expectedMillis;
        expectedMillis = OptionalDouble.empty();
        return taken;
    }

    /** Records the first sign that the server has started to process the call. */
    void onStarted(long nowNanos) {
        beganNanos = OptionalLong.of(nowNanos);
        if (server != null) {
            server.onStarted(pendingTokens, nowNanos);
            pendingTokens = 0;
        }
    }

    /** Returns the prompt tokens of the last attempt that were expected to miss the server's prefix cache. */
    public double uncachedTokens() {
        return uncachedTokens;
    }

    /** Returns the prompt tokens that the server had to process before the last attempt, as far as known. */
    double tokensAhead() {
        return tokensAhead;
    }

    /** Returns the calls at the server when the last attempt was sent, as far as known. */
    int callsAhead() {
        return callsAhead;
    }

    /** Returns whether the speed of the service was learned from the last attempt. */
    boolean speedLearned() {
        return speedLearned;
    }

    void onSpeedLearned() {
        speedLearned = true;
    }

    /** Returns the parts of the prompt that other requests to the call's service may share; the service must be known. */
    Set<ServicePart> sharedParts() {
        if (sharedParts == null) {
            Set<ServicePart> parts = new LinkedHashSet<>();
            head.sharedParts().stream()
                    .limit(MAX_SHARED_PARTS)
                    .forEach(part -> parts.add(new ServicePart(service, part.id())));
            sharedParts = Collections.unmodifiableSet(parts);
        }
        return sharedParts;
    }

    /** Returns when the answer of the last attempt began, on the monotonic clock in nanoseconds, if it did. */
    OptionalLong beganNanos() {
        return beganNanos;
    }

    /** Returns whether the last attempt has shown that the call does not crash its server. */
    boolean sound() {
        return sound;
    }

    void onSound() {
        sound = true;
    }

    /** Returns the number of attempts after which the call may have crashed its server. */
    int suspiciousEnds() {
        return suspiciousEnds;
    }

    void onSuspiciousEnd() {
        suspiciousEnds++;
    }

    /** Cancels the current attempt before any part of it was sent to the server. */
    void withdraw() {
        attempts--;
        release(false);
    }

    /** Ends the current attempt and detaches the call from its server. */
    void release(boolean possiblyRan) {
        if (server != null) {
            server.onReleased(pendingTokens);
            server.addHeldTokens(-CallNeeds.heldTokens(this));
            pendingTokens = 0;
            server = null;
        }
        mayHaveRun |= possiblyRan;
    }
}
