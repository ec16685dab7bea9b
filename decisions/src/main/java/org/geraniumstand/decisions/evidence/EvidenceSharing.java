package org.geraniumstand.decisions.evidence;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.time.Timestamp;

/** Schedules the transmission of evidence rows to the peers with a token bucket of bytes. */
@Decision(
        name = "evidence-sharing",
        summary = "Changed rows of evidence are sent immediately, within a budget of bytes per second.")
public final class EvidenceSharing {
    /** Bytes per second that a process may send as evidence, summed over all peers. */
    static final long BYTES_PER_SECOND = 4_096;

    /** Maximum time over which unused bytes accumulate, in milliseconds. */
    static final long BURST_MILLIS = 4_000;

    private static final long FULL_SEND_MILLIS = 2_000;
    private static final long RESEND_MILLIS = 10_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EvidenceTable table;
    private double budgetBytes = BYTES_PER_SECOND * BURST_MILLIS / (double) MILLIS_PER_SECOND;
    private Optional<Timestamp> lastRefill = Optional.empty();
    private Optional<Timestamp> lastFullSend = Optional.empty();
    private Optional<Timestamp> lastResend = Optional.empty();

    /**
     * Creates a schedule with a full budget.
     *
     * @param table the rows of this process
     */
    public EvidenceSharing(EvidenceTable table) {
        this.table = table;
    }

    /**
     * Refills the budget and returns the rows to send now.
     *
     * @param peers number of processes that each row is sent to
     * @param isUrgent returns whether a row is limited only by the budget; other rows are sent once per full-send
     *     period
     * @param now the current time
     */
    public List<Action> onTick(int peers, Predicate<EvidenceKey> isUrgent, Timestamp now) {
        refill(now);
        boolean sendAll = lastFullSend
                .map(sent -> now.millisSince(sent) >= FULL_SEND_MILLIS)
                .orElse(true);
        if (lastResend.map(sent -> now.millisSince(sent) >= RESEND_MILLIS).orElse(true)) {
            lastResend = Optional.of(now);
            table.markOwnChanged();
        }
        if (budgetBytes <= 0) {
            return List.of();
        }
        int receivers = Math.max(1, peers);
        List<EvidenceRow> rows = table.drainChanged((long) budgetBytes / receivers, sendAll ? _key -> true : isUrgent);
        lastFullSend = sendAll ? Optional.of(now) : lastFullSend;
        if (rows.isEmpty()) {
            return List.of();
        }
        budgetBytes -=
                receivers * rows.stream().mapToLong(RowSize::estimateBytes).sum();
        return List.of(new Action.ShareEvidence(rows));
    }

    private void refill(Timestamp now) {
        long elapsedMillis = lastRefill.map(now::millisSince).orElse(0L);
        lastRefill = Optional.of(now);
        double maxBudgetBytes = BYTES_PER_SECOND * BURST_MILLIS / (double) MILLIS_PER_SECOND;
        budgetBytes =
                Math.min(maxBudgetBytes, budgetBytes + BYTES_PER_SECOND * elapsedMillis / (double) MILLIS_PER_SECOND);
    }
}
