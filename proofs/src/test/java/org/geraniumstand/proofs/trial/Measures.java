package org.geraniumstand.proofs.trial;

import java.util.function.Predicate;
import org.geraniumstand.model.request.Outcome;

/**
 * Holds the measures of one trial.
 *
 * @param calls number of requests sent
 * @param answered number of requests answered
 * @param inTargetPercent percentage of the requests that were answered within the latency targets
 * @param engineCostPerThousand cost of engine time per thousand answers within the targets, in hundredths of the
 *     currency unit
 * @param hostCostPerThousand cost of all hosts per thousand answers within the targets, in the same unit
 * @param recomputedTokens tokens that were computed again, per thousand answers
 * @param refusedNotRun number of requests that were refused as not run
 * @param lost number of requests that were dispatched and not answered
 * @param falseRefusals number of refusals as not run although the request had reached a server
 * @param ranTwice number of at-most-once requests that ran more than once
 * @param attemptsPerCall mean number of attempts per request
 * @param overloads number of requests beyond the cold concurrency that cold servers received
 * @param lateOverloads number of overloads after the server had been cold for more than two seconds
 * @param warmServers number of servers that are warm at the end
 * @param lateDispatches number of dispatches to servers and data centres that had been draining for more than three
 *     seconds
 */
public record Measures(
        int calls,
        int answered,
        double inTargetPercent,
        double engineCostPerThousand,
        double hostCostPerThousand,
        double recomputedTokens,
        int refusedNotRun,
        int lost,
        int falseRefusals,
        int ranTwice,
        double attemptsPerCall,
        int overloads,
        int lateOverloads,
        int warmServers,
        int lateDispatches) {
    private static final double MILLIS_PER_HOUR = 3_600_000;

    /**
     * Computes the measures of a trial that has ended.
     *
     * @param simulation simulation of the trial
     * @param counted selects the requests to include
     */
    public static Measures of(TrialSimulation simulation, Predicate<Call> counted) {
        int calls = 0;
        int answered = 0;
        int inTarget = 0;
        int notRun = 0;
        int lost = 0;
        int falseRefusals = 0;
        int ranTwice = 0;
        int attempts = 0;
        for (Call call : simulation.calls()) {
            if (!counted.test(call)) {
                continue;
            }
            calls++;
            attempts += call.attempts();
            answered += call.answered() ? 1 : 0;
            boolean good = call.withinTargets(Deployments.FIRST_TOKEN_MILLIS, Deployments.BETWEEN_TOKENS_MILLIS);
            inTarget += good ? 1 : 0;
            boolean refusedAsNotRun =
                    call.refusal().filter(r -> r.outcome() == Outcome.NOT_RUN).isPresent();
            notRun += refusedAsNotRun ? 1 : 0;
            lost += !call.answered() && call.attempts() > 0 ? 1 : 0;
            falseRefusals += refusedAsNotRun && call.executions() > 0 ? 1 : 0;
            ranTwice += !call.requestInfo().idempotent() && call.executions() > 1 ? 1 : 0;
        }
        double cost = 0;
        double rent = 0;
        double recomputed = 0;
        int overloads = 0;
        int lateOverloads = 0;
        int warm = 0;
        for (FakeServer server : simulation.servers()) {
            cost += server.busyMillis() / MILLIS_PER_HOUR * server.listed().centsPerHour();
            rent += simulation.clock().millis()
                    / MILLIS_PER_HOUR
                    * server.listed().centsPerHour();
            recomputed += server.recomputedTokens();
            overloads += server.overloads();
            lateOverloads += server.lateOverloads();
            warm += server.cold() || server.terminated() ? 0 : 1;
        }
        double thousands = Math.max(1, inTarget) / 1_000.0;
        return new Measures(
                calls,
                answered,
                100.0 * inTarget / Math.max(1, calls),
                cost / thousands,
                rent / thousands,
                recomputed / Math.max(1, answered) * 1_000.0,
                notRun,
                lost,
                falseRefusals,
                ranTwice,
                (double) attempts / Math.max(1, calls),
                overloads,
                lateOverloads,
                warm,
                simulation.lateDispatchCount());
    }
}
