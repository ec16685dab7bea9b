package org.geraniumstand.decisions.routing;

import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.time.Moment;

/** What a process knows about a backend server from its own work there; it belongs to one thread. */
public final class ServerState {
    private static final double SLOWNESS_GAIN = 0.3;
    private static final double LEAST_SLOWNESS = 0.3;
    private static final double MOST_SLOWNESS = 20;
    private static final double TRUST_GAIN = 0.1;
    private static final double LEAST_TRUST = 0.1;
    private static final double SPARE_SPREAD = 4.0 / 3;
    private static final long REPORT_USEFUL_MILLIS = 2_000;

    private final int slot;
    private final Pace pace;
    private BackendServer server;
    private int inFlight;
    private double pendingTokens;
    private double slowness = 1;
    private double cacheTrust = 1;
    private int reportedOthers;
    private Moment reportedAt;
    private boolean used;

    /**
     * Creates the state of a backend server.
     *
     * @param slot number of the server in this process, from 0
     * @param server the backend server
     * @param pace what is known of its class
     */
    public ServerState(int slot, BackendServer server, Pace pace) {
        this.slot = slot;
        this.server = server;
        this.pace = pace;
    }

    /** Returns the number of the server in this process. */
    public int slot() {
        return slot;
    }

    /** Returns the backend server as listed last. */
    public BackendServer server() {
        return server;
    }

    /** Returns what is known of the server's class. */
    public Pace pace() {
        return pace;
    }

    /**
     * Takes in the server as it is listed now.
     *
     * @param listed the backend server
     */
    void list(BackendServer listed) {
        server = listed;
    }

    /** Returns whether this process sends new work to the server. */
    boolean used() {
        return used;
    }

    /**
     * Sets whether this process sends new work to the server.
     *
     * @param next whether it does
     */
    void use(boolean next) {
        used = next;
    }

    /** Returns the requests of this process at the server. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Counts a request that goes to the server.
     *
     * @param tokens prompt tokens to compute
     */
    public void onDispatch(double tokens) {
        inFlight++;
        pendingTokens += tokens;
    }

    /**
     * Counts a first token.
     *
     * @param tokens prompt tokens that had to be computed
     */
    public void onStarted(double tokens) {
        pendingTokens = Math.max(0, pendingTokens - tokens);
    }

    /** Counts the end of a request. */
    public void onReleased() {
        inFlight--;
    }

    /** Returns the prompt tokens of this process that the server has yet to compute. */
    public double pendingTokens() {
        return pendingTokens;
    }

    /** Returns how many times slower than its class the server answers. */
    public double slowness() {
        return slowness;
    }

    /**
     * Takes in how an answer compared with what its class led to expect.
     *
     * @param ratio time seen against time expected
     */
    public void onRatio(double ratio) {
        double bounded = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, ratio));
        slowness += SLOWNESS_GAIN * (bounded - slowness);
    }

    /** Returns which part of the predicted cached tokens the server turned out to have, from 0 to 1. */
    public double cacheTrust() {
        return cacheTrust;
    }

    /**
     * Compares predicted with reported cached tokens.
     *
     * @param predicted tokens expected in the server's cache
     * @param reported tokens that were there
     */
    public void onCached(double predicted, double reported) {
        if (predicted < 1) {
            return;
        }
        double ratio = Math.min(1, reported / predicted);
        cacheTrust = Math.max(LEAST_TRUST, cacheTrust + TRUST_GAIN * (ratio - cacheTrust));
    }

    /**
     * Takes in a load report.
     *
     * @param report the report
     * @param now the time
     */
    public void onReport(LoadReport report, Moment now) {
        reportedOthers = Math.max(0, report.running() + report.waiting() - inFlight);
        reportedAt = now;
    }

    /**
     * Returns the requests at the server, those of other processes included as far as they are known.
     *
     * @param spare requests that this process may still send there
     * @param users processes that share the server
     * @param most requests that the server bears at once
     * @param now the time
     */
    public double load(int spare, int users, int most, Moment now) {
        if (reportedAt != null && now.millisSince(reportedAt) < REPORT_USEFUL_MILLIS) {
            return inFlight + reportedOthers;
        }
        // The keeper spreads most of the spare evenly, so one's own spare tells of the whole.
        double guess = most - SPARE_SPREAD * spare * users;
        return users <= 1 ? inFlight : Math.max(inFlight, Math.min(most, guess));
    }
}
