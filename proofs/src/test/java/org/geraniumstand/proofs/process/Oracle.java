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

/** Compares the results of callers with the orders that ran, independently of the implementation under test. */
final class Oracle {
    private Oracle() {}

    /** Returns the contradictions between results and executed orders, one line each. */
    static List<String> contradictions(List<RequestResult> results, List<Order> executed) {
        Map<String, Long> runsByBody =
                executed.stream().collect(Collectors.groupingBy(Order::body, Collectors.counting()));
        Map<String, Long> runsByKey = executed.stream()
                .map(Order::key)
                .filter(key -> !key.isEmpty())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        // Counts the requests for each order that may have run it; another request for the same order may then
        // correctly be reported as not run.
        Map<String, Long> possiblyRun = results.stream()
                .filter(result -> result.verdict() != Verdict.NOT_RUN)
                .collect(Collectors.groupingBy(RequestResult::id, Collectors.counting()));
        List<String> found = new ArrayList<>();
        runsByKey.forEach((key, count) -> {
            if (count > 1) {
                found.add("key " + key + " ran " + count + " times");
            }
        });
        runsByBody.forEach((body, count) -> {
            if (count > 1) {
                found.add(body + " ran " + count + " times");
            }
        });
        for (RequestResult result : results) {
            if (result.verdict() == Verdict.WRONG) {
                found.add("wrong answer: " + result);
            }
            if (result.kind() == Kind.ORDER) {
                long count = runsByBody.getOrDefault("{\"order\":\"" + result.id() + "\"}", 0L);
                if (result.verdict() == Verdict.ANSWERED && count != 1) {
                    found.add("answered, but ran " + count + " times: " + result);
                }
                if (result.verdict() == Verdict.NOT_RUN && count > possiblyRun.getOrDefault(result.id(), 0L)) {
                    found.add("reported as not run, but ran " + count + " times: " + result);
                }
            }
        }
        return found;
    }
}
