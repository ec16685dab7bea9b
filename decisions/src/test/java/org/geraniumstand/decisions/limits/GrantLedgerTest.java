package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class GrantLedgerTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final ProcessId HOLDER = new ProcessId("p1");
    private static final Moment START = new Moment(0, 0);
    private static final int HOLDERS = 4;
    private static final int STEPS = 200;
    private static final int MOST_BUDGET = 16;

    private final GrantLedger ledger = new GrantLedger(SERVER, new ProcessId("p0"));

    @Test
    void grantsWhatIsWanted() {
        ledger.onDemand(new Demand(SERVER, HOLDER, 0, 2), START);

        List<Grant> grants = ledger.allocate(4, 0, 0, false, START);

        assertThat(grants, contains(new Grant(SERVER, HOLDER, 2, GrantLedger.VALID_MILLIS, false)));
    }

    @Test
    void grantsNothingOfAColdServerUnasked() {
        ledger.onDemand(new Demand(SERVER, HOLDER, 0, 0), START);

        assertThat(ledger.allocate(4, 0, 0, false, START), empty());
    }

    @Test
    void smallerGrantFreesNothingBeforeTheOldOneRanOut() {
        ledger.onDemand(new Demand(SERVER, HOLDER, 0, 4), START);
        ledger.allocate(4, 0, 0, false, START);
        Moment later = START.plus(Duration.ofMillis(GrantLedger.VALID_MILLIS));
        ledger.onDemand(new Demand(SERVER, HOLDER, 0, 0), later);
        ledger.allocate(4, 0, 0, false, later);

        assertThat(ledger.granted(later), equalTo(4));
        assertThat(ledger.granted(START.plus(Duration.ofMillis(GrantLedger.GRANT_TIME_MILLIS))), equalTo(0));
    }

    /** Holders hear of grants after any delay up to the margin; what they may use never exceeds the largest budget. */
    @Property(tries = 200, seed = "4711")
    void sumOfWhatHoldersMayUseStaysWithinTheBudget(@ForAll long seed) {
        Random random = new Random(seed);
        GrantLedger fuzzed = new GrantLedger(SERVER, new ProcessId("p0"));
        Map<ProcessId, List<Held>> used = new HashMap<>();
        Moment now = START;
        for (int step = 0; step < STEPS; step++) {
            now = now.plus(Duration.ofMillis(random.nextInt(400)));
            ProcessId holder = new ProcessId("p" + (1 + random.nextInt(HOLDERS)));
            fuzzed.onDemand(new Demand(SERVER, holder, 0, random.nextInt(MOST_BUDGET)), now);
            for (Grant grant : fuzzed.allocate(MOST_BUDGET, 0, random.nextInt(4), random.nextBoolean(), now)) {
                Moment received = now.plus(Duration.ofMillis(random.nextInt(GrantLedger.MARGIN_MILLIS)));
                used.computeIfAbsent(grant.holder(), _key -> new ArrayList<>())
                        .add(new Held(grant.concurrency(), received));
            }
            assertThat(sum(used, now), lessThanOrEqualTo(MOST_BUDGET));
        }
    }

    private record Held(int concurrency, Moment received) {}

    private static int sum(Map<ProcessId, List<Held>> used, Moment now) {
        int sum = 0;
        for (List<Held> grants : used.values()) {
            sum += usable(grants, now);
        }
        return sum;
    }

    /** Messages of one connection keep their order, so a grant replaces all that were sent before it. */
    private static int usable(List<Held> grants, Moment now) {
        for (int i = grants.size() - 1; i >= 0; i--) {
            Held grant = grants.get(i);
            if (grant.received().nanos() <= now.nanos()) {
                boolean valid = now.millisSince(grant.received()) < GrantLedger.VALID_MILLIS;
                return valid ? grant.concurrency() : 0;
            }
        }
        return 0;
    }
}
