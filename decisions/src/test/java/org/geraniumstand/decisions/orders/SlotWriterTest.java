package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class SlotWriterTest {
    private final SlotWriter writer = new SlotWriter();

    @Test
    void batchesChangesWhileWriteIsInFlight() {
        assertThat(writer.submit(1, open(1)), contains(instanceOf(WriterStep.Read.class)));
        List<WriterStep> first = writer.onRead(ClaimSlot.EMPTY, 0, 0);
        for (int i = 2; i <= 50; i++) {
            assertThat(writer.submit(i, open(i)), is(empty()));
        }
        assertThat(writer.onWritten(true), hasSize(2));
        WriterStep.Write second = (WriterStep.Write)
                writer.onRead(((WriterStep.Write) first.get(0)).slot(), 1, 0).get(0);

        assertThat(second.slot().claims(), hasSize(50));
        assertThat(writer.onWritten(true), hasSize(49));
        assertThat(writer.isIdle(), is(true));
    }

    @Test
    void skipsWriteWhenNothingChanges() {
        writer.submit(1, ClaimFixtures.open("t2"));

        List<WriterStep> steps = writer.onRead(ClaimFixtures.slotIn(ClaimState.ANSWERED), 5, 0);

        assertThat(steps, contains(instanceOf(WriterStep.Complete.class)));
        assertThat(writer.isIdle(), is(true));
    }

    @Test
    void recognizesOwnWriteAfterLostResponse() {
        writer.submit(1, ClaimFixtures.open("t1"));
        WriterStep.Write write =
                (WriterStep.Write) writer.onRead(ClaimSlot.EMPTY, 0, 0).get(0);
        assertThat(writer.onFailure(), contains(instanceOf(WriterStep.Read.class)));

        assertThat(kinds(writer.onRead(write.slot(), 1, 0)), contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void reappliesChangeAfterConflict() {
        writer.submit(1, ClaimFixtures.open("t2"));
        writer.onRead(ClaimSlot.EMPTY, 0, 0);
        assertThat(writer.onWritten(false), contains(instanceOf(WriterStep.Read.class)));

        assertThat(
                kinds(writer.onRead(ClaimFixtures.slotIn(ClaimState.CLAIMED), 1, 0)),
                contains(ClaimResult.Kind.IN_FLIGHT));
    }

    @Test
    void failsChangeAfterRepeatedStoreFailures() {
        writer.submit(1, ClaimFixtures.open("t1"));

        assertThat(writer.onFailure(), contains(new WriterStep.Read(SlotWriter.RETRY_MILLIS)));
        assertThat(writer.onFailure(), contains(new WriterStep.Read(2 * SlotWriter.RETRY_MILLIS)));
        assertThat(kinds(writer.onFailure()), contains(ClaimResult.Kind.UNAVAILABLE));
        assertThat(writer.isIdle(), is(true));
    }

    @Test
    void readsWithoutDelayAfterStoreRecovers() {
        writer.submit(1, ClaimFixtures.open("t1"));
        writer.onFailure();
        writer.onRead(ClaimSlot.EMPTY, 0, 0);

        assertThat(writer.onWritten(false), contains(new WriterStep.Read(0)));
    }

    private static ClaimChange open(int number) {
        return new ClaimChange(
                ClaimChange.Kind.OPEN, "k" + number, "f", "t" + number, new ProcessId("p"), RecordedAnswer.NONE);
    }

    private static List<ClaimResult.Kind> kinds(List<WriterStep> steps) {
        List<ClaimResult.Kind> kinds = new ArrayList<>();
        for (WriterStep step : steps) {
            if (step instanceof WriterStep.Complete complete) {
                kinds.add(complete.result().kind());
            }
        }
        return kinds;
    }
}
