package org.geraniumstand.decisions.evidence;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class EvidenceSharingTest {
    private static final Timestamp START = new Timestamp(0, 0);
    private static final long TICK_MILLIS = 100;
    private static final int PEERS_AT_FULL_SIZE = 330;

    private final EvidenceTable table = new EvidenceTable(new ProcessId("p0"));
    private final EvidenceSharing sharing = new EvidenceSharing(table);

    @Test
    void sendsChangedRowImmediately() {
        count("r0");

        assertThat(sharing.onTick(7, _key -> true, START), hasSize(1));
    }

    @Test
    void sendsNothingWithoutChange() {
        assertThat(sharing.onTick(7, _key -> true, START), empty());
    }

    @Test
    void delaysNonUrgentRowUntilNextFullSend() {
        sharing.onTick(7, _key -> false, START);
        count("r0");

        assertThat(sharing.onTick(7, _key -> false, START.plus(Duration.ofMillis(TICK_MILLIS))), empty());
        assertThat(sharing.onTick(7, _key -> false, START.plus(Duration.ofSeconds(2))), hasSize(1));
    }

    @Test
    void staysWithinByteBudgetAtFullSize() {
        long bytes = 0;
        int seconds = 600;
        for (int tick = 0; tick < seconds * 10; tick++) {
            count("r" + tick % 8);
            for (Action action : sharing.onTick(
                    PEERS_AT_FULL_SIZE, _key -> true, START.plus(Duration.ofMillis(tick * TICK_MILLIS)))) {
                Action.ShareEvidence share = (Action.ShareEvidence) action;
                bytes += PEERS_AT_FULL_SIZE
                        * share.rows().stream()
                                .mapToLong(RowSize::estimateBytes)
                                .sum();
            }
        }

        long burst = 64_000;
        assertThat(bytes, lessThanOrEqualTo(EvidenceSharing.BYTES_PER_SECOND * seconds + burst));
    }

    private void count(String route) {
        table.count(
                new ServiceId("board-model"),
                new VersionId("v2"),
                new RouteId(route),
                tally -> tally.withAttempt(false).withLatency(40));
    }
}
