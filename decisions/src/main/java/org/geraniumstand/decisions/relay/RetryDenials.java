package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.time.Timestamp;

/** Counts denied retries and reports them at most once a second for each service. Not thread-safe. */
final class RetryDenials {
    private static final long REPORT_MILLIS = 1_000;

    private final long startNanos;
    private final Map<ServiceId, Pending> pending = new HashMap<>();
    private long total;

    private static final class Pending {
        private int count;
        private long reportedNanos;

        Pending(long reportedNanos) {
            this.reportedNanos = reportedNanos;
        }
    }

    /**
     * Creates counts of a process that has denied nothing.
     *
     * @param startNanos when the process started, on the monotonic clock in nanoseconds
     */
    RetryDenials(long startNanos) {
        this.startNanos = startNanos;
    }

    /**
     * Records a denied retry.
     *
     * @param service the service of the call
     * @param budget supplies the budget that denied it, if a report is due
     * @param slackShare fraction of the slack that this process may use
     * @param nowNanos the monotonic time in nanoseconds
     * @return the report, if one is due
     */
    Optional<DeniedRetries> onDenied(
            ServiceId service, Supplier<RelayRetryBudget.Usage> budget, double slackShare, long nowNanos) {
        total++;
        Pending denied = pending.computeIfAbsent(
                service, _key -> new Pending(nowNanos - REPORT_MILLIS * Timestamp.NANOS_PER_MILLI));
        denied.count++;
        if (nowNanos - denied.reportedNanos < REPORT_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return Optional.empty();
        }
        int count = denied.count;
        denied.count = 0;
        denied.reportedNanos = nowNanos;
        long ageMillis = (nowNanos - startNanos) / Timestamp.NANOS_PER_MILLI;
        return Optional.of(new DeniedRetries(service, count, budget.get(), slackShare, ageMillis));
    }

    /** Returns the number of retries denied since the process started. */
    long total() {
        return total;
    }
}
