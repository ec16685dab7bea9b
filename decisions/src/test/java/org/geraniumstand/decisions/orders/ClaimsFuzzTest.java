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
 * Drives the writers of several processes over one slot, with races, lost answers, late writes and crashes.
 *
 * <p>The oracle is a ledger: a key is dispatched again only if all its earlier dispatches ended as not run, and every
 * replay equals the first answer.
 */
final class ClaimsFuzzTest {
    private static final int PROCESSES = 3;
    private static final int KEYS = 10;
    private static final int STEPS = 400;

    @Property(tries = 400, seed = "20261204")
    void neverDispatchesOneKeyTwice(@ForAll long seed) {
        World world = new World(new Random(seed));
        for (int i = 0; i < STEPS; i++) {
            world.step();
        }
    }

    @Property(tries = 400, seed = "20261205")
    void neverLeavesClaimThatNobodyDispatched(@ForAll long seed) {
        World world = new World(new Random(seed));
        world.crashes = false;
        for (int i = 0; i < STEPS; i++) {
            world.step();
        }
        world.finish();
        for (Claim claim : world.stored.claims()) {
            if (claim.state() == ClaimState.CLAIMED) {
                assertThat(world.tokens, hasItem(claim.token()));
            }
        }
    }

    @Example
    void reachesAllEndsThatMatter() {
        int dispatched = 0;
        int replayed = 0;
        for (int seed = 0; seed < 50; seed++) {
            World world = new World(new Random(seed));
            for (int i = 0; i < STEPS; i++) {
                world.step();
            }
            dispatched += world.dispatched;
            replayed += world.replayed;
        }
        assertThat(dispatched, greaterThan(50));
        assertThat(replayed, greaterThan(50));
    }

    /** A store that may lose answers, and that carries some writes out late. */
    private static final class World {
        private final Random random;
        private final List<Runnable> pending = new ArrayList<>();
        private final List<SlotWriter> writers = new ArrayList<>();
        private final Map<Long, ClaimChange> changes = new HashMap<>();
        private final Map<String, Integer> mayHaveRun = new HashMap<>();
        private final Map<String, String> answers = new HashMap<>();
        private ClaimSlot stored = ClaimSlot.EMPTY;
        private long index;
        private long count;
        private final Set<String> tokens = new HashSet<>();
        private boolean crashes = true;
        private int dispatched;
        private int replayed;

        World(Random random) {
            this.random = random;
            for (int i = 0; i < PROCESSES; i++) {
                writers.add(new SlotWriter());
            }
        }

        void step() {
            if (pending.isEmpty() || random.nextInt(4) == 0) {
                ask(random.nextInt(PROCESSES));
            } else if (crashes && random.nextInt(40) == 0) {
                crash(random.nextInt(PROCESSES));
            } else {
                pending.remove(random.nextInt(pending.size())).run();
            }
        }

        void finish() {
            for (int i = 0; i < 100 * STEPS && !pending.isEmpty(); i++) {
                pending.remove(random.nextInt(pending.size())).run();
            }
        }

        private void ask(int process) {
            count++;
            ClaimChange wish = new ClaimChange(
                    ClaimChange.Kind.OPEN,
                    "k" + random.nextInt(KEYS),
                    "f",
                    "t" + count,
                    new ProcessId("p" + process),
                    RecordedAnswer.NONE);
            submit(process, wish);
        }

        private void submit(int process, ClaimChange change) {
            count++;
            changes.put(count, change);
            run(process, writers.get(process), writers.get(process).submit(count, change));
        }

        // A process that starts anew knows nothing; what the old one had sent may still take effect.
        private void crash(int process) {
            writers.set(process, new SlotWriter());
        }

        private void run(int process, SlotWriter writer, List<WriterStep> steps) {
            for (WriterStep step : steps) {
                if (step instanceof WriterStep.Read) {
                    pending.add(() -> read(process, writer));
                } else if (step instanceof WriterStep.Write write) {
                    pending.add(() -> write(process, writer, write));
                } else if (step instanceof WriterStep.Tell tell) {
                    told(process, writer, changes.get(tell.change()), tell.verdict());
                }
            }
        }

        private void read(int process, SlotWriter writer) {
            ClaimSlot seen = stored;
            long at = index;
            boolean lost = random.nextInt(8) == 0;
            pending.add(() -> run(process, writer, lost ? writer.onFailure() : writer.onRead(seen, at, 0)));
        }

        private void write(int process, SlotWriter writer, WriterStep.Write write) {
            int fate = random.nextInt(8);
            if (fate == 0) {
                pending.add(() -> swap(write));
                pending.add(() -> run(process, writer, writer.onFailure()));
                return;
            }
            boolean written = swap(write);
            boolean lost = fate == 1;
            pending.add(() -> run(process, writer, lost ? writer.onFailure() : writer.onWritten(written)));
        }

        private boolean swap(WriterStep.Write write) {
            if (write.index() != index) {
                return false;
            }
            index++;
            stored = write.slot();
            return true;
        }

        private void told(int process, SlotWriter writer, ClaimChange change, ClaimVerdict verdict) {
            if (writers.get(process) != writer) {
                return;
            }
            if (change.kind() != ClaimChange.Kind.OPEN) {
                if (verdict.kind() == ClaimVerdict.Kind.UNAVAILABLE) {
                    pending.add(() -> submit(process, change));
                }
                return;
            }
            switch (verdict.kind()) {
                case GRANTED -> dispatch(process, change);
                case REPLAY -> replay(change, verdict.claim().orElseThrow().answer());
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
            submit(process, change.settle(ClaimChange.Kind.ANSWERED, Wishes.answer(change.token())));
        }

        private void replay(ClaimChange change, RecordedAnswer answer) {
            replayed++;
            assertThat(answer.body(), is(answers.get(change.key())));
        }
    }
}
