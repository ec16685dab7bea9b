package org.geraniumstand.http.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.decisions.orders.ChangedSlot;
import org.geraniumstand.decisions.orders.Claim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.ClaimSlot;
import org.geraniumstand.decisions.orders.OpenClaim;
import org.geraniumstand.decisions.orders.SettleClaim;
import org.geraniumstand.http.order.Orders;

/** Keeps claims in memory; a request whose key another one of this process holds waits for that one's end. */
public final class FakeOrders implements Orders {
    private ClaimSlot slot = ClaimSlot.EMPTY;
    private final List<ClaimChange.Kind> settled = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean out;

    private record Waiting(ClaimChange wish, Consumer<ClaimResult> callback) {}

    /** Makes the store fail from now on. */
    public synchronized void fail() {
        out = true;
    }

    /** Returns the settlements, in order. */
    public synchronized List<ClaimChange.Kind> settled() {
        return List.copyOf(settled);
    }

    /** Returns the claims. */
    public synchronized ClaimSlot slot() {
        return slot;
    }

    @Override
    public synchronized void open(ClaimChange wish, long _deadlineNanos, Consumer<ClaimResult> callback) {
        if (out) {
            callback.accept(ClaimResult.of(ClaimResult.Kind.UNAVAILABLE));
            return;
        }
        ChangedSlot changed = OpenClaim.apply(slot, wish, System.currentTimeMillis());
        slot = changed.slot();
        boolean holderEnds = changed.verdict().kind() == ClaimResult.Kind.IN_FLIGHT
                && changed.verdict()
                        .claim()
                        .map(Claim::holder)
                        .filter(wish.holder()::equals)
                        .isPresent();
        if (holderEnds) {
            waiting.add(new Waiting(wish, callback));
        } else {
            callback.accept(changed.verdict());
        }
    }

    @Override
    public synchronized void settle(ClaimChange change) {
        slot = SettleClaim.apply(slot, change, System.currentTimeMillis()).slot();
        settled.add(change.kind());
        List<Waiting> asked = List.copyOf(waiting);
        waiting.clear();
        asked.forEach(w -> open(w.wish(), 0, w.callback()));
    }
}
