package org.geraniumstand.decisions.request;

import java.util.HashSet;
import java.util.Set;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Tracks an accepted request and its attempts until it is answered. Not thread-safe. */
public final class InFlightRequest {
    private final RequestInfo info;
    private final Timestamp arrivedAt;
    private final Set<ServerId> failedServers = new HashSet<>();
    private ServerState server;
    private Timestamp dispatchedAt;
    private Timestamp measuredSince;
    private int tokensAtMeasurementStart;
    private double uncachedTokens;
    private double predictedCachedTokens;
    private boolean started;
    private boolean mayHaveRun;
    private int attempt;
    private int failures;
    private int tokens;

    /**
     * Creates a waiting request.
     *
     * @param info the request
     * @param arrivedAt when the request arrived
     */
    public InFlightRequest(RequestInfo info, Timestamp arrivedAt) {
        this.info = info;
        this.arrivedAt = arrivedAt;
    }

    /** Returns the request's properties. */
    public RequestInfo info() {
        return info;
    }

    /** Returns when the request arrived. */
    public Timestamp arrivedAt() {
        return arrivedAt;
    }

    /** Returns the servers that failed the request. */
    public Set<ServerId> failedServers() {
        return failedServers;
    }

    /** Returns the server that processes the request, or null while the request waits. */
    public ServerState server() {
        return server;
    }

    /** Returns whether the request waits for a server. */
    public boolean isWaiting() {
        return server == null;
    }

    /** Returns the number of the latest attempt, from 1, or 0 before the first attempt. */
    public int attempt() {
        return attempt;
    }

    /** Returns how many attempts failed. */
    public int failures() {
        return failures;
    }

    /** Returns when the latest attempt was dispatched. */
    public Timestamp dispatchedAt() {
        return dispatchedAt;
    }

    /** Returns whether the first byte of the latest attempt's response has arrived. */
    public boolean started() {
        return started;
    }

    /** Returns whether a server may have executed the request in an attempt that has ended. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the tokens relayed to the caller so far, over all attempts. */
    public int tokens() {
        return tokens;
    }

    /** Returns the expected number of tokens still to be generated, at least one. */
    public int remainingTokens() {
        return Math.max(1, info.answerTokens() - tokens);
    }

    /** Returns the tokens that another server would have to process: the prompt and the tokens relayed so far. */
    public int contextTokens() {
        return info.promptTokens() + tokens;
    }

    /** Returns the estimated number of context tokens that the server of the latest attempt has to compute. */
    public double uncachedTokens() {
        return uncachedTokens;
    }

    /** Returns the number of context tokens that were predicted to be in the server's cache at dispatch. */
    public double predictedCachedTokens() {
        return predictedCachedTokens;
    }

    /**
     * Starts an attempt.
     *
     * @param target the server that the attempt is sent to
     * @param tokensToCompute context tokens that the server has to compute
     * @param now the current time
     */
    public void dispatch(ServerState target, double tokensToCompute, Timestamp now) {
        server = target;
        attempt++;
        started = false;
        dispatchedAt = now;
        measuredSince = now;
        tokensAtMeasurementStart = tokens;
        uncachedTokens = tokensToCompute;
        predictedCachedTokens = contextTokens() - tokensToCompute;
        target.onDispatch(tokensToCompute);
    }

    /** Records the first byte of the latest attempt's response. */
    public void onFirstByte(Timestamp now) {
        if (started) {
            return;
        }
        started = true;
        measuredSince = now;
        tokensAtMeasurementStart = tokens;
        server.onFirstToken(uncachedTokens);
    }

    /** Updates the total of relayed tokens and returns the tokens relayed since the current measurement started. */
    public int recordTokens(int total) {
        tokens = Math.max(tokens, total);
        return tokens - tokensAtMeasurementStart;
    }

    /** Starts a new measurement of the time between tokens. */
    public void startMeasurement(Timestamp now) {
        measuredSince = now;
        tokensAtMeasurementStart = tokens;
    }

    /** Returns when the current measurement of the time between tokens started. */
    public Timestamp measuredSince() {
        return measuredSince;
    }

    /**
     * Ends the latest attempt.
     *
     * @param ran whether the server may have executed the request
     */
    public void endAttempt(boolean ran) {
        if (server == null) {
            return;
        }
        if (!started) {
            server.onFirstToken(uncachedTokens);
        }
        server.onRelease();
        mayHaveRun |= ran;
        server = null;
    }

    /** Records that the latest attempt failed at a server. */
    public void recordFailure(ServerId failedServer) {
        failures++;
        failedServers.add(failedServer);
    }
}
