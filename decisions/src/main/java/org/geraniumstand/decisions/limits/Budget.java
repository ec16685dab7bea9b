package org.geraniumstand.decisions.limits;

import java.time.Duration;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.time.Moment;

/**
 * The requests that a backend server may have in flight, as its keeper sees it.
 *
 * <p>A cold server bears what its service says, and more only after it has completed work and reports that it is warm;
 * where it reports nothing, completed work alone speaks for it. A warm server's budget grows with good answers and
 * shrinks at once on bad ones.
 */
@Decision(
        name = "adaptive-budget",
        summary = "A server's budget grows with good answers, shrinks at once on bad ones, and stays at the cold limit"
                + " until a cold server has completed work.")
public final class Budget {
    private static final double SHRINK = 0.7;
    private static final double LEAST_WARM_SHARE = 0.3;
    private static final double LEAST_LATE_SHARE = 0.75;
    private static final long SHRINK_EVERY_MILLIS = 500;
    private static final int WARM_AFTER_COMPLETED = 2;
    private static final int WARM_AFTER_COMPLETED_UNREPORTED = 8;
    private static final double KNOWN_WARM_SHARE = 0.75;
    private static final long REPORT_SPEAKS_MILLIS = 1_200;
    private static final int BELIEVED_TIMES = 3;
    private static final long REPORT_FRESH_MILLIS = 5_000;

    private Service service;
    private double limit;
    private boolean warm;
    private boolean everCold;
    private int completed;
    private boolean reportedWarm;
    private Moment reportedAt;
    private Moment takenAt;
    private int refuted;
    private Moment shrunkAt;
    private Moment coldAt;

    /**
     * Creates the budget of a server of which nothing is known.
     *
     * @param service its service
     */
    public Budget(Service service) {
        this.service = service;
        this.limit = Math.max(1, service.coldConcurrency());
    }

    /**
     * Takes in the service as it is configured now.
     *
     * @param next the service
     */
    public void onService(Service next) {
        service = next;
        limit = Math.min(limit, cap());
    }

    /** Returns the requests that may be in flight. */
    public int concurrency() {
        return (int) Math.max(1, Math.min(limit, cap()));
    }

    /** Returns whether the server is known to be warm. */
    public boolean warm() {
        return warm;
    }

    private int cap() {
        return warm ? service.maxConcurrency() : Math.max(1, service.coldConcurrency());
    }

    /**
     * Takes in a load report.
     *
     * @param report the report
     * @param now when it was read
     */
    public void onReport(LoadReport report, Moment now) {
        boolean olderThanCold = coldAt != null && now.millisSince(coldAt) <= report.ageMillis();
        if (report.warm() && olderThanCold) {
            return;
        }
        reportedWarm = report.warm();
        reportedAt = now;
        takenAt = now.plus(Duration.ofMillis(-report.ageMillis()));
        if (!report.warm() && warm) {
            onCold(now);
        }
        if (report.warm() && !warm && !everCold) {
            warm = true;
            limit = Math.max(limit, service.maxConcurrency() * KNOWN_WARM_SHARE);
        }
        if (!report.warm()) {
            everCold = true;
        }
    }

    /**
     * Takes in a completed request or a first token in good time.
     *
     * @param ended whether the request is completed
     * @param now the time
     */
    public void onGood(boolean ended, Moment now) {
        if (warm) {
            refuted = 0;
            limit = Math.min(service.maxConcurrency(), limit + 1 / Math.max(1, limit) + 0.25);
            return;
        }
        if (!ended) {
            return;
        }
        completed++;
        boolean fresh = reportedAt != null && now.millisSince(reportedAt) < REPORT_FRESH_MILLIS;
        boolean warmed = fresh
                ? reportedWarm && completed >= WARM_AFTER_COMPLETED
                : completed >= WARM_AFTER_COMPLETED_UNREPORTED;
        if (warmed) {
            warm = true;
            limit = Math.max(limit, Math.min(service.maxConcurrency(), 2.0 * service.coldConcurrency()));
        }
    }

    /**
     * Takes in an answer that failed or whose tokens came too slowly.
     *
     * @param now the time
     */
    public void onBad(Moment now) {
        shrink(LEAST_WARM_SHARE, now);
    }

    /**
     * Takes in a first token that was late.
     *
     * <p>Long prompts that come together make it late, few requests or many, so the budget shrinks a little only.
     *
     * @param now the time
     */
    public void onLate(Moment now) {
        shrink(LEAST_LATE_SHARE, now);
    }

    private void shrink(double leastWarm, Moment now) {
        if (shrunkAt != null && now.millisSince(shrunkAt) < SHRINK_EVERY_MILLIS) {
            return;
        }
        shrunkAt = now;
        double least = warm ? leastWarm * service.maxConcurrency() : 1;
        limit = Math.max(Math.max(1, least), limit * SHRINK);
        completed = 0;
    }

    /**
     * Takes in that a process found the server to be cold again by its latency.
     *
     * <p>A server that says that it is warm, in a report taken while it was slow, is rather overloaded; it is believed
     * a few times.
     *
     * @param now the time
     */
    public void onSuspicion(Moment now) {
        boolean saysWarm = warm && reportedWarm && takenAt != null && now.millisSince(takenAt) < REPORT_SPEAKS_MILLIS;
        if (saysWarm && refuted < BELIEVED_TIMES) {
            refuted++;
            onLate(now);
            return;
        }
        onCold(now);
    }

    /**
     * Takes in that the server is cold again.
     *
     * @param now the time
     */
    public void onCold(Moment now) {
        warm = false;
        everCold = true;
        reportedWarm = false;
        coldAt = now;
        refuted = 0;
        completed = 0;
        limit = Math.max(1, service.coldConcurrency());
    }
}
