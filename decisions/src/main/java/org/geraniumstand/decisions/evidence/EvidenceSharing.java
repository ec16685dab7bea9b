package org.geraniumstand.decisions.evidence;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.time.Moment;

/** Decides when own rows of evidence are sent to the peers, and how many. */
@Decision(
        name = "evidence-sharing",
        summary = "Changed rows of evidence are sent at once, as far as the byte budget of a second allows.")
public final class EvidenceSharing {
    /** Bytes a second that a process may spend on sending evidence, over all peers. */
    static final long BYTES_PER_SECOND = 4_096;

    /** Longest time for which unspent bytes add up, in milliseconds. */
    static final long BURST_MILLIS = 4_000;

    private static final long PERIOD_MILLIS = 2_000;
    private static final long REPEAT_MILLIS = 10_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EvidenceLedger ledger;
    private double credit = BYTES_PER_SECOND * BURST_MILLIS / (double) MILLIS_PER_SECOND;
    private Optional<Moment> last = Optional.empty();
    private Optional<Moment> sentAll = Optional.empty();
    private Optional<Moment> repeated = Optional.empty();

    /**
     * Creates the decision.
     *
     * @param ledger holds the rows
     */
    public EvidenceSharing(EvidenceLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Lets time pass.
     *
     * @param peers number of processes that each row is sent to
     * @param urgent tells which rows wait for the budget alone; the others go out once a period
     * @param now the time
     */
    public List<Action> onTick(int peers, Predicate<EvidenceKey> urgent, Moment now) {
        refill(now);
        boolean all = sentAll.map(s -> now.millisSince(s) >= PERIOD_MILLIS).orElse(true);
        if (repeated.map(r -> now.millisSince(r) >= REPEAT_MILLIS).orElse(true)) {
            repeated = Optional.of(now);
            ledger.repeatOwn();
        }
        if (credit <= 0) {
            return List.of();
        }
        int copies = Math.max(1, peers);
        List<EvidenceRow> rows = ledger.takeChanged((long) credit / copies, all ? _key -> true : urgent);
        sentAll = all ? Optional.of(now) : sentAll;
        if (rows.isEmpty()) {
            return List.of();
        }
        credit -= copies * rows.stream().mapToLong(RowSize::bytes).sum();
        return List.of(new Action.ShareEvidence(rows));
    }

    private void refill(Moment now) {
        long passed = last.map(now::millisSince).orElse(0L);
        last = Optional.of(now);
        double most = BYTES_PER_SECOND * BURST_MILLIS / (double) MILLIS_PER_SECOND;
        credit = Math.min(most, credit + BYTES_PER_SECOND * passed / (double) MILLIS_PER_SECOND);
    }
}
