package org.geraniumstand.decisions.limits;

import java.time.Duration;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.time.Timestamp;

/**
 * Adapts the number of requests that a backend server may have in flight; maintained by the process that owns the
 * server.
 *
 * <p>The budget of a cold server is the cold concurrency that its service configures. The server becomes warm, and its
 * budget larger, only after it has completed requests and reports that it is warm; without recent reports, a larger
 * number of completed requests is required. A server that was never cold is warm as soon as it reports so. The budget
 * of a warm server grows with each success and decreases immediately on failures and late tokens.
 */
@Decision(
        name = "adaptive-budget",
        summary = "A server's concurrency budget grows on successes, decreases immediately on failures, and stays at"
                + " the cold limit until a cold server has completed requests.")
public final class ConcurrencyBudget {
    private static final double DECREASE_FACTOR = 0.7;
    private static final double MIN_WARM_SHARE = 0.3;
    private static final double MIN_SHARE_AFTER_LATE_TOKEN = 0.75;
    private static final long DECREASE_INTERVAL_MILLIS = 500;
    private static final int WARM_AFTER_COMPLETED = 2;
    private static final int WARM_AFTER_COMPLETED_UNREPORTED = 8;
    private static final double REPORTED_WARM_SHARE = 0.75;
    private static final long REPORT_REFUTES_MILLIS = 1_200;
    private static final int MAX_REFUTED = 3;
    private static final long REPORT_FRESH_MILLIS = 5_000;

    private Service service;
    private double limit;
    private boolean warm;
    private boolean everCold;
    private int completedRequests;
    private boolean reportedWarm;
    private Timestamp reportReadAt;
    private Timestamp reportTakenAt;
    private int refuted;
    private Timestamp decreasedAt;
    private Timestamp coldAt;

    /**
     * Creates the budget of a server without reports or completed requests, which is treated as cold.
     *
     * @param service the server's service
     */
    public ConcurrencyBudget(Service service) {
        this.service = service;
        this.limit = Math.max(1, service.coldConcurrency());
    }

    /**
     * Applies a changed configuration of the service.
     *
     * @param next the service
     */
    public void onService(Service next) {
        service = next;
        limit = Math.min(limit, maxLimit());
    }

    /** Returns the number of requests that may be in flight, at least one. */
    public int concurrency() {
        return (int) Math.max(1, Math.min(limit, maxLimit()));
    }

    /** Returns whether the server is known to be warm. */
    public boolean warm() {
        return warm;
    }

    private int maxLimit() {
        return warm ? service.maxConcurrency() : Math.max(1, service.coldConcurrency());
    }

    /**
     * Applies a load report of the server; a report that the server is warm is ignored if it was taken before the
     * server was last found to be cold.
     *
     * @param report the report
     * @param now when the report was read
     */
    public void onReport(LoadReport report, Timestamp now) {
        boolean takenBeforeCold = coldAt != null && now.millisSince(coldAt) <= report.ageMillis();
        if (report.warm() && takenBeforeCold) {
            return;
        }
        reportedWarm = report.warm();
        reportReadAt = now;
        reportTakenAt = now.plus(Duration.ofMillis(-report.ageMillis()));
        if (!report.warm() && warm) {
            onCold(now);
        }
        if (report.warm() && !warm && !everCold) {
            warm = true;
            limit = Math.max(limit, service.maxConcurrency() * REPORTED_WARM_SHARE);
        }
        if (!report.warm()) {
            everCold = true;
        }
    }

    /**
     * Records a completed request or a token that met its latency target.
     *
     * @param requestCompleted true for a completed request, false for a token
     * @param now the current time
     */
    public void onSuccess(boolean requestCompleted, Timestamp now) {
        if (warm) {
            refuted = 0;
            limit = Math.min(service.maxConcurrency(), limit + 1 / Math.max(1, limit) + 0.25);
            return;
        }
        if (!requestCompleted) {
            return;
        }
        completedRequests++;
        boolean fresh = reportReadAt != null && now.millisSince(reportReadAt) < REPORT_FRESH_MILLIS;
        boolean warmed = fresh
                ? reportedWarm && completedRequests >= WARM_AFTER_COMPLETED
                : completedRequests >= WARM_AFTER_COMPLETED_UNREPORTED;
        if (warmed) {
            warm = true;
            limit = Math.max(limit, Math.min(service.maxConcurrency(), 2.0 * service.coldConcurrency()));
        }
    }

    /**
     * Decreases the budget after a failed request or persistently slow tokens.
     *
     * @param now the current time
     */
    public void onFailure(Timestamp now) {
        decrease(MIN_WARM_SHARE, now);
    }

    /**
     * Decreases the budget after a late token, to no less than a high share of the maximum concurrency.
     *
     * <p>Long prompts that arrive together delay tokens regardless of the number of requests in flight, so the decrease
     * is small.
     *
     * @param now the current time
     */
    public void onLateToken(Timestamp now) {
        decrease(MIN_SHARE_AFTER_LATE_TOKEN, now);
    }

    private void decrease(double minWarmShare, Timestamp now) {
        if (decreasedAt != null && now.millisSince(decreasedAt) < DECREASE_INTERVAL_MILLIS) {
            return;
        }
        decreasedAt = now;
        double minimum = warm ? minWarmShare * service.maxConcurrency() : 1;
        limit = Math.max(Math.max(1, minimum), limit * DECREASE_FACTOR);
        completedRequests = 0;
    }

    /**
     * Handles the suspicion of a process, derived from latency, that the server has become cold again.
     *
     * <p>If the server reported that it is warm while it was slow, it is more likely overloaded. Such a report refutes
     * the suspicion a limited number of times in a row, and the budget is only decreased.
     *
     * @param now the current time
     */
    public void onColdSuspected(Timestamp now) {
        boolean reportsWarm =
                warm && reportedWarm && reportTakenAt != null && now.millisSince(reportTakenAt) < REPORT_REFUTES_MILLIS;
        if (reportsWarm && refuted < MAX_REFUTED) {
            refuted++;
            onLateToken(now);
            return;
        }
        onCold(now);
    }

    /**
     * Resets the budget to the cold limit after the server has become cold.
     *
     * @param now the current time
     */
    public void onCold(Timestamp now) {
        warm = false;
        everCold = true;
        reportedWarm = false;
        coldAt = now;
        refuted = 0;
        completedRequests = 0;
        limit = Math.max(1, service.coldConcurrency());
    }
}
