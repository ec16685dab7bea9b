package org.geraniumstand.decisions.flight;

import java.util.HashSet;
import java.util.Set;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/** An accepted request on its way to an answer; it belongs to one thread. */
public final class Flight {
    private final RequestFacts facts;
    private final Moment arrived;
    private final Set<ServerId> tried = new HashSet<>();
    private ServerState server;
    private Moment dispatched;
    private Moment marked;
    private int markedTokens;
    private double uncached;
    private double cachedGuess;
    private boolean started;
    private boolean mayHaveRun;
    private int attempt;
    private int failures;
    private int tokens;

    /**
     * Creates a request that waits.
     *
     * @param facts the request
     * @param arrived when it arrived
     */
    public Flight(RequestFacts facts, Moment arrived) {
        this.facts = facts;
        this.arrived = arrived;
    }

    /** Returns the request. */
    public RequestFacts facts() {
        return facts;
    }

    /** Returns when the request arrived. */
    public Moment arrived() {
        return arrived;
    }

    /** Returns the servers that failed the request. */
    public Set<ServerId> tried() {
        return tried;
    }

    /** Returns the server that works on it, or null while it waits. */
    public ServerState server() {
        return server;
    }

    /** Returns whether it waits for a server. */
    public boolean waits() {
        return server == null;
    }

    /** Returns the number of the newest attempt, from 1; 0 before the first. */
    public int attempt() {
        return attempt;
    }

    /** Returns how many attempts failed. */
    public int failures() {
        return failures;
    }

    /** Returns when the newest attempt was dispatched. */
    public Moment dispatched() {
        return dispatched;
    }

    /** Returns whether the newest attempt brought its first byte. */
    public boolean started() {
        return started;
    }

    /** Returns whether an attempt may have run it. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the tokens relayed so far, over all attempts. */
    public int tokens() {
        return tokens;
    }

    /** Returns the tokens that are expected still, at least one. */
    public int tokensLeft() {
        return Math.max(1, facts.answerTokens() - tokens);
    }

    /** Returns the tokens that another server would have to read: the prompt and the answer so far. */
    public int contextTokens() {
        return facts.promptTokens() + tokens;
    }

    /** Returns the prompt tokens that the newest attempt has to compute. */
    public double uncached() {
        return uncached;
    }

    /** Returns the prompt tokens that were expected in the server's cache. */
    public double cachedGuess() {
        return cachedGuess;
    }

    /**
     * Starts an attempt.
     *
     * @param next the server
     * @param toCompute prompt tokens that it has to compute
     * @param now the time
     */
    public void dispatch(ServerState next, double toCompute, Moment now) {
        server = next;
        attempt++;
        started = false;
        dispatched = now;
        marked = now;
        markedTokens = tokens;
        uncached = toCompute;
        cachedGuess = contextTokens() - toCompute;
        next.onDispatch(toCompute);
    }

    /** Takes in the first byte of the newest attempt. */
    public void start(Moment now) {
        if (started) {
            return;
        }
        started = true;
        marked = now;
        markedTokens = tokens;
        server.onStarted(uncached);
    }

    /** Takes in progress and returns the tokens since the last mark. */
    public int advance(int total) {
        tokens = Math.max(tokens, total);
        return tokens - markedTokens;
    }

    /** Sets a mark to measure progress from. */
    public void mark(Moment now) {
        marked = now;
        markedTokens = tokens;
    }

    /** Returns when the last mark was set. */
    public Moment marked() {
        return marked;
    }

    /**
     * Ends the newest attempt.
     *
     * @param ran whether the server may have run it
     */
    public void release(boolean ran) {
        if (server == null) {
            return;
        }
        if (!started) {
            server.onStarted(uncached);
        }
        server.onReleased();
        mayHaveRun |= ran;
        server = null;
    }

    /** Notes that the newest attempt failed at a server. */
    public void fail(ServerId at) {
        failures++;
        tried.add(at);
    }
}
