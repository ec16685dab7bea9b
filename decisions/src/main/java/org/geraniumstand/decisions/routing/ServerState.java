package org.geraniumstand.decisions.routing;

import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.time.Timestamp;

/** Tracks the load and latency of a backend server as this process observes them. Not thread-safe. */
public final class ServerState {
    private static final double SLOWNESS_GAIN = 0.3;
    private static final double MIN_SLOWNESS = 0.3;
    private static final double MAX_SLOWNESS = 20;
    private static final double TRUST_GAIN = 0.1;
    private static final double MIN_TRUST = 0.1;
    private static final double SPARE_CORRECTION = 4.0 / 3;
    private static final long REPORT_EXPIRY_MILLIS = 2_000;

    private final int index;
    private final LatencyModel latencyModel;
    private BackendServer server;
    private int inFlight;
    private double pendingTokens;
    private double slowness = 1;
    private double cacheTrust = 1;
    private int remoteInFlight;
    private Timestamp reportedAt;
    private boolean used;

    /**
     * Creates the state of a backend server.
     *
     * @param index index of the server in this process, from 0
     * @param server the backend server
     * @param latencyModel latency model of the server's service and host class
     */
    public ServerState(int index, BackendServer server, LatencyModel latencyModel) {
        this.index = index;
        this.server = server;
        this.latencyModel = latencyModel;
    }

    /** Returns the index of the server in this process, from 0. */
    public int index() {
        return index;
    }

    /** Returns the backend server as last listed by the platform. */
    public BackendServer server() {
        return server;
    }

    /** Returns the latency model of the server's service and host class. */
    public LatencyModel latencyModel() {
        return latencyModel;
    }

    /**
     * Replaces the server's description with the one that the platform lists now.
     *
     * @param listed the backend server
     */
    void update(BackendServer listed) {
        server = listed;
    }

    /** Returns whether this process sends new work to the server. */
    boolean used() {
        return used;
    }

    /**
     * Sets whether this process sends new work to the server.
     *
     * @param next true if it sends new work
     */
    void setUsed(boolean next) {
        used = next;
    }

    /** Returns the number of this process's requests in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Records that a request was dispatched to the server.
     *
     * @param tokens prompt tokens to compute
     */
    public void onDispatch(double tokens) {
        inFlight++;
        pendingTokens += tokens;
    }

    /**
     * Records the first token of a request.
     *
     * @param tokens prompt tokens that had to be computed
     */
    public void onFirstToken(double tokens) {
        pendingTokens = Math.max(0, pendingTokens - tokens);
    }

    /** Records the end of an attempt at the server. */
    public void onRelease() {
        inFlight--;
    }

    /** Returns the prompt tokens of this process's requests that the server has not computed yet. */
    public double pendingTokens() {
        return pendingTokens;
    }

    /** Returns the server's latency divided by the latency expected of its service and host class. */
    public double slowness() {
        return slowness;
    }

    /**
     * Updates the slowness with a measured latency.
     *
     * @param ratio measured time divided by expected time
     */
    public void recordLatencyRatio(double ratio) {
        double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
        slowness += SLOWNESS_GAIN * (bounded - slowness);
    }

    /** Returns the fraction of the predicted cached tokens that the server actually had cached, from 0 to 1. */
    public double cacheTrust() {
        return cacheTrust;
    }

    /**
     * Updates the cache trust with the cached tokens that a response reports.
     *
     * @param predicted tokens that were predicted to be in the server's cache
     * @param reported tokens that were in the cache
     */
    public void recordCachedTokens(double predicted, double reported) {
        if (predicted < 1) {
            return;
        }
        double ratio = Math.min(1, reported / predicted);
        cacheTrust = Math.max(MIN_TRUST, cacheTrust + TRUST_GAIN * (ratio - cacheTrust));
    }

    /**
     * Records a load report of the server.
     *
     * @param report the report
     * @param now the current time
     */
    public void onReport(LoadReport report, Timestamp now) {
        remoteInFlight = Math.max(0, report.running() + report.waiting() - inFlight);
        reportedAt = now;
    }

    /**
     * Returns the estimated number of requests in flight at the server, including those of other processes.
     *
     * @param spare requests that this process may still send to the server
     * @param processes number of processes that share the server
     * @param maxConcurrency maximum number of requests in flight at the server
     * @param now the current time
     */
    public double load(int spare, int processes, int maxConcurrency, Timestamp now) {
        if (reportedAt != null && now.millisSince(reportedAt) < REPORT_EXPIRY_MILLIS) {
            return inFlight + remoteInFlight;
        }
        // The server's owner grants most of the spare concurrency to all processes in equal shares, so the total can be
        // estimated from this process's share.
        double estimate = maxConcurrency - SPARE_CORRECTION * spare * processes;
        return processes <= 1 ? inFlight : Math.max(inFlight, Math.min(maxConcurrency, estimate));
    }
}
