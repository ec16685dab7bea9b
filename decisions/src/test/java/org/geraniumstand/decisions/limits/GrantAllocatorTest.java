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
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class GrantAllocatorTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final ProcessId HOLDER = new ProcessId("p1");
    private static final Timestamp START = new Timestamp(0, 0);
    private static final int HOLDER_COUNT = 4;
    private static final int STEPS = 200;
    private static final int BUDGET = 16;

    private final GrantAllocator allocator = new GrantAllocator(SERVER, new ProcessId("p0"));

    @Test
    void grantsDemandedConcurrency() {
        allocator.onDemand(new Demand(SERVER, HOLDER, 0, 2), START);

        List<Grant> grants = allocator.allocate(4, 0, 0, false, START);

        assertThat(grants, contains(new Grant(SERVER, HOLDER, 2, GrantAllocator.VALID_MILLIS, false)));
    }

    @Test
    void coldServerGrantsNothingWithoutDemand() {
        allocator.onDemand(new Demand(SERVER, HOLDER, 0, 0), START);

        assertThat(allocator.allocate(4, 0, 0, false, START), empty());
    }

    @Test
    void smallerGrantFreesConcurrencyOnlyAfterLargerOneExpired() {
        allocator.onDemand(new Demand(SERVER, HOLDER, 0, 4), START);
        allocator.allocate(4, 0, 0, false, START);
        Timestamp later = START.plus(Duration.ofMillis(GrantAllocator.VALID_MILLIS));
        allocator.onDemand(new Demand(SERVER, HOLDER, 0, 0), later);
        allocator.allocate(4, 0, 0, false, later);

        assertThat(allocator.maxUseByHolders(later), equalTo(4));
        assertThat(allocator.maxUseByHolders(START.plus(Duration.ofMillis(GrantAllocator.EXPIRY_MILLIS))), equalTo(0));
    }

    /**
     * Guards against over-commitment of a server: holders receive grants after random delays up to the margin, and the
     * sum of the concurrency that they may use must not exceed the budget at any time.
     */
    @Property(tries = 200, seed = "4711")
    void concurrencyUsableByAllHoldersNeverExceedsBudget(@ForAll long seed) {
        Random random = new Random(seed);
        GrantAllocator randomised = new GrantAllocator(SERVER, new ProcessId("p0"));
        Map<ProcessId, List<ReceivedGrant>> grantsByHolder = new HashMap<>();
        Timestamp now = START;
        for (int step = 0; step < STEPS; step++) {
            now = now.plus(Duration.ofMillis(random.nextInt(400)));
            ProcessId holder = new ProcessId("p" + (1 + random.nextInt(HOLDER_COUNT)));
            randomised.onDemand(new Demand(SERVER, holder, 0, random.nextInt(BUDGET)), now);
            for (Grant grant : randomised.allocate(BUDGET, 0, random.nextInt(4), random.nextBoolean(), now)) {
                Timestamp receivedAt = now.plus(Duration.ofMillis(random.nextInt(GrantAllocator.MARGIN_MILLIS)));
                grantsByHolder
                        .computeIfAbsent(grant.holder(), _key -> new ArrayList<>())
                        .add(new ReceivedGrant(grant.concurrency(), receivedAt));
            }
            assertThat(usableByAll(grantsByHolder, now), lessThanOrEqualTo(BUDGET));
        }
    }

    private record ReceivedGrant(int concurrency, Timestamp receivedAt) {}

    private static int usableByAll(Map<ProcessId, List<ReceivedGrant>> grantsByHolder, Timestamp now) {
        int sum = 0;
        for (List<ReceivedGrant> grants : grantsByHolder.values()) {
            sum += usable(grants, now);
        }
        return sum;
    }

    /** Messages on a connection arrive in order, so the latest received grant replaces all that were sent before it. */
    private static int usable(List<ReceivedGrant> grants, Timestamp now) {
        for (int i = grants.size() - 1; i >= 0; i--) {
            ReceivedGrant grant = grants.get(i);
            if (grant.receivedAt().nanos() <= now.nanos()) {
                boolean valid = now.millisSince(grant.receivedAt()) < GrantAllocator.VALID_MILLIS;
                return valid ? grant.concurrency() : 0;
            }
        }
        return 0;
    }
}
