package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumstand.standins.OrderDeskStandin.Order;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Kind;
import org.geraniumstand.standins.load.RequestResult.Verdict;

/** Compares what callers were told with what order desks ran; it knows nothing of how the system works. */
final class Oracle {
    private Oracle() {}

    /** Returns all contradictions, one line each. */
    static List<String> contradictions(List<RequestResult> told, List<Order> ran) {
        Map<String, Long> runs = ran.stream().collect(Collectors.groupingBy(Order::body, Collectors.counting()));
        Map<String, Long> keys = ran.stream()
                .map(Order::key)
                .filter(key -> !key.isEmpty())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        // Requests for the same order that may have run it, so that another one can truthfully not have run.
        Map<String, Long> others = told.stream()
                .filter(t -> t.verdict() != Verdict.NOT_RUN)
                .collect(Collectors.groupingBy(RequestResult::id, Collectors.counting()));
        List<String> found = new ArrayList<>();
        keys.forEach((key, count) -> {
            if (count > 1) {
                found.add("key " + key + " ran " + count + " times");
            }
        });
        runs.forEach((body, count) -> {
            if (count > 1) {
                found.add(body + " ran " + count + " times");
            }
        });
        for (RequestResult t : told) {
            if (t.verdict() == Verdict.WRONG) {
                found.add("wrong answer: " + t);
            }
            if (t.kind() == Kind.ORDER) {
                long count = runs.getOrDefault("{\"order\":\"" + t.id() + "\"}", 0L);
                if (t.verdict() == Verdict.ANSWERED && count != 1) {
                    found.add("answered, but ran " + count + " times: " + t);
                }
                if (t.verdict() == Verdict.NOT_RUN && count > others.getOrDefault(t.id(), 0L)) {
                    found.add("told that it did not run, but ran " + count + " times: " + t);
                }
            }
        }
        return found;
    }
}
