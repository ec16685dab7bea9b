package org.geraniumstand.entry.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.membership.RendezvousHashing;
import org.geraniumstand.decisions.orders.AwaitClaim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.http.order.OrderClaims;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.peer.PeerNetwork;

/** Records the claims of this process's orders; its state is confined to the timer's thread. */
public final class ClaimTask implements OrderClaims {
    /** Timeout in milliseconds for opening a claim if the store does not answer. */
    static final long OPEN_TIMEOUT_MILLIS = 3_000;

    /** Polling interval in milliseconds for a claim that another request holds. */
    static final long POLL_INTERVAL_MILLIS = 100;

    /** Milliseconds for which claims are rejected immediately after the store did not answer. */
    static final long STORE_COOLDOWN_MILLIS = 1_000;

    /** Interval in milliseconds between attempts to record the end of an order. */
    static final long SETTLE_RETRY_INTERVAL_MILLIS = 500;

    private final ClaimForwarding forwarding;
    private final Supplier<Set<ProcessId>> liveProcesses;
    private final Timer timer;
    private final LongSupplier nanos;
    private final Map<String, String> ownTokens = new HashMap<>();
    private final AtomicInteger unsettled = new AtomicInteger();
    private long cooldownUntilNanos;

    /** A claim that is being opened. */
    private static final class PendingClaim {
        private final ClaimChange change;
        private final long deadlineNanos;
        private final Consumer<ClaimResult> callback;
        private int round;
        private boolean claimSeen;
        private boolean done;

        private PendingClaim(ClaimChange change, long deadlineNanos, Consumer<ClaimResult> callback) {
            this.change = change;
            this.deadlineNanos = deadlineNanos;
            this.callback = callback;
        }
    }

    private ClaimTask(
            ClaimForwarding forwarding, Supplier<Set<ProcessId>> liveProcesses, Timer timer, LongSupplier nanos) {
        this.forwarding = forwarding;
        this.liveProcesses = liveProcesses;
        this.timer = timer;
        this.nanos = nanos;
        this.cooldownUntilNanos = nanos.getAsLong();
    }

    /**
     * Creates the task.
     *
     * @param self ID of this process
     * @param peers sends messages to and receives messages from other entry processes
     * @param store platform's configuration store, which answers on the timer's thread
     * @param prefix key prefix of the slots
     * @param timer schedules tasks on the thread that owns the state
     * @param nanos returns the monotonic time in nanoseconds
     * @param epochMillis returns the wall clock time, in milliseconds since 1970
     */
    public static ClaimTask create(
            ProcessId self,
            PeerNetwork peers,
            ConfigurationStore store,
            String prefix,
            Timer timer,
            LongSupplier nanos,
            LongSupplier epochMillis) {
        SlotOwner owner = slot -> RendezvousHashing.first(
                        prefix + slot,
                        peers.members().stream().filter(m -> !m.stopping()).toList(),
                        m -> m.id().value())
                .map(Member::id);
        ClaimForwarding forwarding = new ClaimForwarding(self, peers, owner, timer, store, prefix, epochMillis);
        Supplier<Set<ProcessId>> liveProcesses =
                () -> peers.members().stream().map(Member::id).collect(Collectors.toUnmodifiableSet());
        return new ClaimTask(forwarding, liveProcesses, timer, nanos);
    }

    /** Returns the number of ends of orders that are not recorded in the store yet. */
    public int unsettled() {
        return unsettled.get();
    }

    @Override
    public void open(ClaimChange change, long deadlineNanos, Consumer<ClaimResult> callback) {
        PendingClaim pending = new PendingClaim(change, deadlineNanos, callback);
        timer.after(
                () -> {
                    if (nanos.getAsLong() - cooldownUntilNanos < 0) {
                        finish(pending, unavailable(pending));
                    } else {
                        submit(pending);
                    }
                },
                0);
    }

    @Override
    public void settle(ClaimChange change) {
        unsettled.incrementAndGet();
        timer.after(() -> trySettle(change), 0);
    }

    private void submit(PendingClaim pending) {
        pending.round++;
        int round = pending.round;
        forwarding.submit(pending.change, result -> onResult(pending, round, result));
        timer.after(
                () -> {
                    if (pending.round == round) {
                        abandon(pending);
                    }
                },
                OPEN_TIMEOUT_MILLIS);
    }

    private void onResult(PendingClaim pending, int round, ClaimResult result) {
        if (pending.done || pending.round != round) {
            return;
        }
        switch (result.kind()) {
            case IN_FLIGHT -> pollOrFinish(pending, result);
            case UNAVAILABLE -> abandon(pending);
            case GIVEN_UP, SETTLED, FULL -> finish(pending, ClaimResult.of(ClaimResult.Kind.FULL));
            case GRANTED -> {
                ownTokens.put(pending.change.key(), pending.change.token());
                finish(pending, result);
            }
            default -> finish(pending, result);
        }
    }

    private void pollOrFinish(PendingClaim pending, ClaimResult result) {
        pending.claimSeen = true;
        // Invalidates the timeout of this round, so that it does not fire before the next poll.
        pending.round++;
        ProcessId holder = result.claim().orElseThrow().holder();
        if (AwaitClaim.shouldWait(holder, liveProcesses.get(), nanos.getAsLong(), pending.deadlineNanos)) {
            timer.after(() -> submit(pending), POLL_INTERVAL_MILLIS);
        } else {
            finish(pending, result);
        }
    }

    // The claim may have been written although the response was lost. The order is not dispatched, so it is settled as
    // not run.
    private void abandon(PendingClaim pending) {
        if (pending.done) {
            return;
        }
        cooldownUntilNanos = nanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(STORE_COOLDOWN_MILLIS);
        finish(pending, unavailable(pending));
        settle(pending.change.settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
    }

    private ClaimResult unavailable(PendingClaim pending) {
        boolean mayExist = pending.claimSeen || ownTokens.containsKey(pending.change.key());
        return ClaimResult.of(mayExist ? ClaimResult.Kind.UNKNOWN : ClaimResult.Kind.UNAVAILABLE);
    }

    private static void finish(PendingClaim pending, ClaimResult result) {
        pending.done = true;
        pending.callback.accept(result);
    }

    private void trySettle(ClaimChange change) {
        forwarding.submit(change, result -> {
            if (result.kind() == ClaimResult.Kind.UNAVAILABLE) {
                timer.after(() -> trySettle(change), SETTLE_RETRY_INTERVAL_MILLIS);
                return;
            }
            ownTokens.remove(change.key(), change.token());
            unsettled.decrementAndGet();
        });
    }
}
