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
import org.geraniumstand.model.time.Moment;

/** Decides when keepers are told again what this process has and wants. */
@Decision(
        name = "demand-plan",
        summary = "A keeper is told at once when requests wait, within a tick when something changed, and now and then"
                + " in any case.")
final class DemandPlan {
    private static final int REPEAT_MILLIS = 900;
    private static final int AT_ONCE_EVERY_MILLIS = 5;

    private final Map<ServerId, Told> told = new HashMap<>();
    private Moment shortAt;

    private record Told(ProcessId keeper, Demand demand, Moment at) {}

    List<Action> onTick(Map<ProcessId, List<Demand>> wishes, Moment now) {
        return tell(wishes, now);
    }

    List<Action> onShort(Map<ProcessId, List<Demand>> wishes, Moment now) {
        if (shortAt != null && now.millisSince(shortAt) < AT_ONCE_EVERY_MILLIS) {
            return List.of();
        }
        shortAt = now;
        return tell(wishes, now);
    }

    private List<Action> tell(Map<ProcessId, List<Demand>> wishes, Moment now) {
        List<Action> actions = new ArrayList<>();
        wishes.forEach((keeper, demands) -> {
            List<Demand> due = new ArrayList<>();
            for (Demand demand : demands) {
                Told last = told.get(demand.server());
                boolean same = last != null
                        && last.keeper().equals(keeper)
                        && last.demand().equals(demand);
                if (!same || now.millisSince(last.at()) >= REPEAT_MILLIS) {
                    told.put(demand.server(), new Told(keeper, demand, now));
                    due.add(demand);
                }
            }
            if (!due.isEmpty()) {
                actions.add(new Action.SendDemands(keeper, due));
            }
        });
        return actions;
    }
}
