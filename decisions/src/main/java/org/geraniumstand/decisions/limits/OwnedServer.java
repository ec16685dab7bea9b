package org.geraniumstand.decisions.limits;

import java.util.List;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Timestamp;

/** Combines the concurrency budget and the grants of a backend server that this process owns. */
final class OwnedServer {
    private final ConcurrencyBudget budget;
    private final GrantAllocator allocator;
    private final Timestamp grantsFrom;
    private int ownDemand;

    OwnedServer(ServerId server, ProcessId self, Service service, Timestamp grantsFrom) {
        this.budget = new ConcurrencyBudget(service);
        this.allocator = new GrantAllocator(server, self);
        this.grantsFrom = grantsFrom;
    }

    ConcurrencyBudget budget() {
        return budget;
    }

    boolean mayGrant(Timestamp now) {
        return now.nanos() >= grantsFrom.nanos();
    }

    void setOwnDemand(int requested) {
        ownDemand = requested;
    }

    /** Records the demand of another process; its requests that ended since count as completed by the server. */
    void onDemand(Demand demand, Timestamp now) {
        int ended = allocator.onDemand(demand, now);
        if (demand.suspectsCold()) {
            budget.onColdSuspected(now);
            return;
        }
        for (int i = 0; i < ended; i++) {
            budget.onSuccess(true, now);
        }
    }

    /** Returns how many requests the owner itself may have in flight. */
    int ownConcurrency(Timestamp now) {
        return budget.concurrency() - allocator.maxUseByHolders(now);
    }

    List<Grant> allocate(int ownInFlight, Timestamp now) {
        if (!mayGrant(now)) {
            return List.of();
        }
        return allocator.allocate(budget.concurrency(), ownInFlight, ownDemand, budget.warm(), now);
    }
}
