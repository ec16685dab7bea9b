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
    static final long OPEN_MILLIS = 3_000;

    /** Polling interval in milliseconds for a claim that another request holds. */
    static final long POLL_MILLIS = 100;

    /** Milliseconds for which claims are rejected immediately after the store did not answer. */
    static final long STORE_REST_MILLIS = 1_000;

    /** Interval in milliseconds between attempts to record the end of an order. */
    static final long SETTLE_RETRY_MILLIS = 500;

    private final ClaimForwarding forwarding;
    private final Supplier<Set<ProcessId>> live;
    private final Timer timer;
    private final LongSupplier nanos;
    private final Map<String, String> own = new HashMap<>();
    private final AtomicInteger unsettled = new AtomicInteger();
    private long restUntilNanos;

    /** A claim that is being opened. */
    private static final class Opening {
        private final ClaimChange wish;
        private final long deadlineNanos;
        private final Consumer<ClaimResult> callback;
        private int round;
        private boolean sawClaim;
        private boolean done;

        private Opening(ClaimChange wish, long deadlineNanos, Consumer<ClaimResult> callback) {
            this.wish = wish;
            this.deadlineNanos = deadlineNanos;
            this.callback = callback;
        }
    }

    private ClaimTask(ClaimForwarding forwarding, Supplier<Set<ProcessId>> live, Timer timer, LongSupplier nanos) {
        this.forwarding = forwarding;
        this.live = live;
        this.timer = timer;
        this.nanos = nanos;
        this.restUntilNanos = nanos.getAsLong();
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
        Supplier<Set<ProcessId>> live =
                () -> peers.members().stream().map(Member::id).collect(Collectors.toUnmodifiableSet());
        return new ClaimTask(forwarding, live, timer, nanos);
    }

    /** Returns the number of ends of orders that are not recorded in the store yet. */
    public int unsettled() {
        return unsettled.get();
    }

    @Override
    public void open(ClaimChange wish, long deadlineNanos, Consumer<ClaimResult> callback) {
        Opening opening = new Opening(wish, deadlineNanos, callback);
        timer.after(
                () -> {
                    if (nanos.getAsLong() - restUntilNanos < 0) {
                        finish(opening, unavailable(opening));
                    } else {
                        ask(opening);
                    }
                },
                0);
    }

    @Override
    public void settle(ClaimChange change) {
        unsettled.incrementAndGet();
        timer.after(() -> trySettle(change), 0);
    }

    private void ask(Opening opening) {
        opening.round++;
        int round = opening.round;
        forwarding.submit(opening.wish, verdict -> onVerdict(opening, round, verdict));
        timer.after(
                () -> {
                    if (opening.round == round) {
                        giveUp(opening);
                    }
                },
                OPEN_MILLIS);
    }

    private void onVerdict(Opening opening, int round, ClaimResult verdict) {
        if (opening.done || opening.round != round) {
            return;
        }
        switch (verdict.kind()) {
            case IN_FLIGHT -> await(opening, verdict);
            case UNAVAILABLE -> giveUp(opening);
            case GIVEN_UP, SETTLED, FULL -> finish(opening, ClaimResult.of(ClaimResult.Kind.FULL));
            case GRANTED -> {
                own.put(opening.wish.key(), opening.wish.token());
                finish(opening, verdict);
            }
            default -> finish(opening, verdict);
        }
    }

    private void await(Opening opening, ClaimResult verdict) {
        opening.sawClaim = true;
        // Invalidates the timeout of this round, so that it does not fire before the next poll.
        opening.round++;
        ProcessId holder = verdict.claim().orElseThrow().holder();
        if (AwaitClaim.shouldWait(holder, live.get(), nanos.getAsLong(), opening.deadlineNanos)) {
            timer.after(() -> ask(opening), POLL_MILLIS);
        } else {
            finish(opening, verdict);
        }
    }

    // The claim may have been written although the response was lost. The order is not dispatched, so it is settled as
    // not run.
    private void giveUp(Opening opening) {
        if (opening.done) {
            return;
        }
        restUntilNanos = nanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(STORE_REST_MILLIS);
        finish(opening, unavailable(opening));
        settle(opening.wish.settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE));
    }

    private ClaimResult unavailable(Opening opening) {
        boolean known = opening.sawClaim || own.containsKey(opening.wish.key());
        return ClaimResult.of(known ? ClaimResult.Kind.UNKNOWN : ClaimResult.Kind.UNAVAILABLE);
    }

    private static void finish(Opening opening, ClaimResult verdict) {
        opening.done = true;
        opening.callback.accept(verdict);
    }

    private void trySettle(ClaimChange change) {
        forwarding.submit(change, verdict -> {
            if (verdict.kind() == ClaimResult.Kind.UNAVAILABLE) {
                timer.after(() -> trySettle(change), SETTLE_RETRY_MILLIS);
                return;
            }
            own.remove(change.key(), change.token());
            unsettled.decrementAndGet();
        });
    }
}
