package org.geraniumstand.decisions.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.time.Timestamp;

/** Decides when this process sends its demand for concurrency to the owners of backend servers. */
@Decision(
        name = "demand-plan",
        summary = "A process sends its demand to a server's owner immediately when requests wait, within one tick after"
                + " a change, and periodically without a change.")
final class DemandSchedule {
    private static final int RESEND_INTERVAL_MILLIS = 900;
    private static final int MIN_SHORTAGE_INTERVAL_MILLIS = 5;

    private final Map<ServerId, SentDemand> lastSent = new HashMap<>();
    private Timestamp shortageAt;

    private record SentDemand(ProcessId owner, Demand demand, Timestamp sentAt) {}

    List<Action> onTick(Map<ProcessId, List<Demand>> demandsByOwner, Timestamp now) {
        return send(demandsByOwner, now);
    }

    List<Action> onShortage(Map<ProcessId, List<Demand>> demandsByOwner, Timestamp now) {
        if (shortageAt != null && now.millisSince(shortageAt) < MIN_SHORTAGE_INTERVAL_MILLIS) {
            return List.of();
        }
        shortageAt = now;
        return send(demandsByOwner, now);
    }

    private List<Action> send(Map<ProcessId, List<Demand>> demandsByOwner, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        demandsByOwner.forEach((owner, demands) -> {
            List<Demand> due = new ArrayList<>();
            for (Demand demand : demands) {
                SentDemand last = lastSent.get(demand.server());
                boolean same = last != null
                        && last.owner().equals(owner)
                        && last.demand().equals(demand);
                if (!same || now.millisSince(last.sentAt()) >= RESEND_INTERVAL_MILLIS) {
                    lastSent.put(demand.server(), new SentDemand(owner, demand, now));
                    due.add(demand);
                }
            }
            if (!due.isEmpty()) {
                actions.add(new Action.SendDemands(owner, due));
            }
        });
        return actions;
    }
}
