package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumstand.model.id.ProcessId;

/**
 * Runs the writers of several processes on one slot with conflicts, lost responses, delayed writes and crashes.
 *
 * <p>The test checks that a key is dispatched again only if all its earlier dispatches ended as not run, and that every
 * replay equals the first answer.
 */
final class ClaimsFuzzTest {
    private static final int PROCESSES = 3;
    private static final int KEYS = 10;
    private static final int STEPS = 400;

    @Property(tries = 400, seed = "20261204")
    void neverDispatchesKeyTwice(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
    }

    @Property(tries = 400, seed = "20261205")
    void leavesNoClaimWithoutDispatch(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        simulation.crashes = false;
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        simulation.runPending();
        for (Claim claim : simulation.stored.claims()) {
            if (claim.state() == ClaimState.CLAIMED) {
                assertThat(simulation.tokens, hasItem(claim.token()));
            }
        }
    }

    @Example
    void coversDispatchAndReplay() {
        int dispatched = 0;
        int replayed = 0;
        for (int seed = 0; seed < 50; seed++) {
            Simulation simulation = new Simulation(new Random(seed));
            for (int i = 0; i < STEPS; i++) {
                simulation.step();
            }
            dispatched += simulation.dispatched;
            replayed += simulation.replayed;
        }
        assertThat(dispatched, greaterThan(50));
        assertThat(replayed, greaterThan(50));
    }

    /** Simulates a store that loses responses and delays some writes. */
    private static final class Simulation {
        private final Random random;
        private final List<Runnable> pending = new ArrayList<>();
        private final List<SlotWriter> writers = new ArrayList<>();
        private final Map<Long, ClaimChange> changes = new HashMap<>();
        private final Map<String, Integer> mayHaveRun = new HashMap<>();
        private final Map<String, String> answers = new HashMap<>();
        private ClaimSlot stored = ClaimSlot.EMPTY;
        private long index;
        private long changeCount;
        private final Set<String> tokens = new HashSet<>();
        private boolean crashes = true;
        private int dispatched;
        private int replayed;

        Simulation(Random random) {
            this.random = random;
            for (int i = 0; i < PROCESSES; i++) {
                writers.add(new SlotWriter());
            }
        }

        void step() {
            if (pending.isEmpty() || random.nextInt(4) == 0) {
                openClaim(random.nextInt(PROCESSES));
            } else if (crashes && random.nextInt(40) == 0) {
                crash(random.nextInt(PROCESSES));
            } else {
                pending.remove(random.nextInt(pending.size())).run();
            }
        }

        void runPending() {
            for (int i = 0; i < 100 * STEPS && !pending.isEmpty(); i++) {
                pending.remove(random.nextInt(pending.size())).run();
            }
        }

        private void openClaim(int process) {
            changeCount++;
            ClaimChange change = new ClaimChange(
                    ClaimChange.Kind.OPEN,
                    "k" + random.nextInt(KEYS),
                    "f",
                    "t" + changeCount,
                    new ProcessId("p" + process),
                    RecordedAnswer.NONE);
            submit(process, change);
        }

        private void submit(int process, ClaimChange change) {
            changeCount++;
            changes.put(changeCount, change);
            run(process, writers.get(process), writers.get(process).submit(changeCount, change));
        }

        // The restarted process has no state; writes that its predecessor sent may still take effect.
        private void crash(int process) {
            writers.set(process, new SlotWriter());
        }

        private void run(int process, SlotWriter writer, List<WriterStep> steps) {
            for (WriterStep step : steps) {
                if (step instanceof WriterStep.Read) {
                    pending.add(() -> read(process, writer));
                } else if (step instanceof WriterStep.Write write) {
                    pending.add(() -> write(process, writer, write));
                } else if (step instanceof WriterStep.Complete complete) {
                    onResult(process, writer, changes.get(complete.changeNumber()), complete.result());
                }
            }
        }

        private void read(int process, SlotWriter writer) {
            ClaimSlot readSlot = stored;
            long readIndex = index;
            boolean lost = random.nextInt(8) == 0;
            pending.add(() -> run(process, writer, lost ? writer.onFailure() : writer.onRead(readSlot, readIndex, 0)));
        }

        private void write(int process, SlotWriter writer, WriterStep.Write write) {
            int writeOutcome = random.nextInt(8);
            if (writeOutcome == 0) {
                pending.add(() -> compareAndSwap(write));
                pending.add(() -> run(process, writer, writer.onFailure()));
                return;
            }
            boolean written = compareAndSwap(write);
            boolean lost = writeOutcome == 1;
            pending.add(() -> run(process, writer, lost ? writer.onFailure() : writer.onWritten(written)));
        }

        private boolean compareAndSwap(WriterStep.Write write) {
            if (write.index() != index) {
                return false;
            }
            index++;
            stored = write.slot();
            return true;
        }

        private void onResult(int process, SlotWriter writer, ClaimChange change, ClaimResult result) {
            if (writers.get(process) != writer) {
                return;
            }
            if (change.kind() != ClaimChange.Kind.OPEN) {
                if (result.kind() == ClaimResult.Kind.UNAVAILABLE) {
                    pending.add(() -> submit(process, change));
                }
                return;
            }
            switch (result.kind()) {
                case GRANTED -> dispatch(process, change);
                case REPLAY -> replay(change, result.claim().orElseThrow().answer());
                case UNAVAILABLE -> submit(process, change.settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
                case IN_FLIGHT -> pending.add(() -> submit(process, change));
                default -> {}
            }
        }

        private void dispatch(int process, ClaimChange change) {
            dispatched++;
            tokens.add(change.token());
            int running = mayHaveRun.merge(change.key(), 1, Integer::sum);
            assertThat("dispatches of " + change.key() + " that may have run", running, lessThanOrEqualTo(1));
            switch (random.nextInt(4)) {
                case 0 -> {
                    mayHaveRun.put(change.key(), 0);
                    submit(process, change.settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
                }
                case 1 -> submit(process, change.settle(ClaimChange.Kind.UNKNOWN, RecordedAnswer.NONE));
                default -> answer(process, change);
            }
        }

        private void answer(int process, ClaimChange change) {
            answers.put(change.key(), change.token());
            submit(process, change.settle(ClaimChange.Kind.ANSWERED, ClaimFixtures.answer(change.token())));
        }

        private void replay(ClaimChange change, RecordedAnswer answer) {
            replayed++;
            assertThat(answer.body(), is(answers.get(change.key())));
        }
    }
}
