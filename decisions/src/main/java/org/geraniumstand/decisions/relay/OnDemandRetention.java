package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.relay.DesiredServers.Count;
import org.geraniumstand.model.id.DataCentreId;

/** Decides how many on-demand servers each data centre keeps while their replacements boot. */
@Decision(
        name = "lasting-kept",
        summary = "On-demand servers beyond the desired number are released, the most expensive "
                + "first, as long as the remaining servers that already serve are sufficient.")
public final class OnDemandRetention {
    private OnDemandRetention() {}

    /**
     * Returns the number of on-demand servers to keep, by data centre.
     *
     * @param input the input from which the desired servers were computed
     * @param desired the servers desired, by data centre
     * @param serving servers that already serve, by data centre, excluding those that are still booting
     * @param onDemand on-demand servers that have been ordered, by data centre
     */
    public static Map<DataCentreId, Integer> decide(
            DesiredServers.Input input,
            Map<DataCentreId, Count> desired,
            Map<DataCentreId, Count> serving,
            Map<DataCentreId, Integer> onDemand) {
        Map<DataCentreId, Count> servingOnly = DesiredServers.decide(new DesiredServers.Input(
                input.bounds(), input.needed(), serving, input.dataCentresOut(), desired.keySet()));
        int required = Math.max(total(desired), total(servingOnly));
        int surplus = onDemand.values().stream().mapToInt(Integer::intValue).sum() - required;
        Map<DataCentreId, Integer> retained = new HashMap<>();
        for (DataCentreId dc : mostExpensiveFirst(input, desired)) {
            int ordered = onDemand.getOrDefault(dc, 0);
            int minimum = desired.get(dc).onDemand();
            int released = Math.max(0, Math.min(surplus, ordered - minimum));
            surplus -= released;
            retained.put(dc, Math.max(minimum, ordered - released));
        }
        return retained;
    }

    private static int total(Map<DataCentreId, Count> counts) {
        return counts.values().stream().mapToInt(Count::onDemand).sum();
    }

    private static List<DataCentreId> mostExpensiveFirst(DesiredServers.Input input, Map<DataCentreId, Count> desired) {
        List<DataCentreId> sorted = new ArrayList<>(desired.keySet());
        sorted.sort(Comparator.<DataCentreId>comparingDouble(
                        dc -> -input.bounds().prices().get(dc))
                .thenComparing(Comparator.naturalOrder()));
        return sorted;
    }
}
