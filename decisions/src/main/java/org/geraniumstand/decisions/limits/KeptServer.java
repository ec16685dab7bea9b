package org.geraniumstand.decisions.limits;

import java.util.List;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Moment;

/** A backend server that this process keeps: its budget and what was granted of it. */
final class KeptServer {
    private final Budget budget;
    private final GrantLedger ledger;
    private final Moment grantsFrom;
    private int ownWanted;

    KeptServer(ServerId server, ProcessId self, Service service, Moment grantsFrom) {
        this.budget = new Budget(service);
        this.ledger = new GrantLedger(server, self);
        this.grantsFrom = grantsFrom;
    }

    Budget budget() {
        return budget;
    }

    boolean grants(Moment now) {
        return now.nanos() >= grantsFrom.nanos();
    }

    void want(int wanted) {
        ownWanted = wanted;
    }

    /** Takes in a wish; requests that ended at another process count as work that the server completed. */
    void onDemand(Demand demand, Moment now) {
        int ended = ledger.onDemand(demand, now);
        if (demand.suspectsCold()) {
            budget.onSuspicion(now);
            return;
        }
        for (int i = 0; i < ended; i++) {
            budget.onGood(true, now);
        }
    }

    /** Returns how many requests the keeper itself may have in flight. */
    int own(Moment now) {
        return budget.concurrency() - ledger.granted(now);
    }

    List<Grant> allocate(int ownInFlight, Moment now) {
        if (!grants(now)) {
            return List.of();
        }
        return ledger.allocate(budget.concurrency(), ownInFlight, ownWanted, budget.warm(), now);
    }
}
