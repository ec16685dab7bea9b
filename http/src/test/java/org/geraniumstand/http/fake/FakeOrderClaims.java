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
import org.geraniumstand.http.order.OrderClaims;

/** Stores claims in memory; a request waits while another request of this process holds the claim of its key. */
public final class FakeOrderClaims implements OrderClaims {
    private ClaimSlot slot = ClaimSlot.EMPTY;
    private final List<ClaimChange.Kind> settled = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean unavailable;

    private record Waiting(ClaimChange change, Consumer<ClaimResult> callback) {}

    /** Makes the claim store unavailable from now on. */
    public synchronized void makeUnavailable() {
        unavailable = true;
    }

    /** Returns the kinds of all settlements in order. */
    public synchronized List<ClaimChange.Kind> settled() {
        return List.copyOf(settled);
    }

    /** Returns the stored claims. */
    public synchronized ClaimSlot slot() {
        return slot;
    }

    @Override
    public synchronized void open(ClaimChange change, long _deadlineNanos, Consumer<ClaimResult> callback) {
        if (unavailable) {
            callback.accept(ClaimResult.of(ClaimResult.Kind.UNAVAILABLE));
            return;
        }
        ChangedSlot changed = OpenClaim.apply(slot, change, System.currentTimeMillis());
        slot = changed.slot();
        boolean waitForHolder = changed.result().kind() == ClaimResult.Kind.IN_FLIGHT
                && changed.result()
                        .claim()
                        .map(Claim::holder)
                        .filter(change.holder()::equals)
                        .isPresent();
        if (waitForHolder) {
            waiting.add(new Waiting(change, callback));
        } else {
            callback.accept(changed.result());
        }
    }

    @Override
    public synchronized void settle(ClaimChange change) {
        slot = SettleClaim.apply(slot, change, System.currentTimeMillis()).slot();
        settled.add(change.kind());
        List<Waiting> pending = List.copyOf(waiting);
        waiting.clear();
        pending.forEach(w -> open(w.change(), 0, w.callback()));
    }
}
