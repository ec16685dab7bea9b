package org.geraniumstand.proofs.trial;

import java.util.function.Predicate;
import org.geraniumstand.model.request.Outcome;

/**
 * What a trial measured.
 *
 * @param calls requests sent
 * @param answered requests answered
 * @param inTargetPercent part of the requests that were answered within the targets, in percent
 * @param costPerThousand cost of engine time for a thousand answers within the targets, in hundredths of the currency
 *     unit
 * @param rentPerThousand cost of all hosts for a thousand answers within the targets, in the same unit
 * @param recomputedTokens tokens that were computed again, a thousand answers
 * @param refusedNotRun requests refused that did not run
 * @param lost requests that were dispatched and not answered
 * @param untrue refusals that said not run although the request was at a server
 * @param ranTwice at-most-once requests that more than one server began
 * @param attemptsPerCall attempts a request
 * @param overloads times a cold server got more than it bears
 * @param lateOverloads those of them that came when the server had been cold for two seconds
 * @param warmServers servers that are warm at the end
 * @param lateWork new work to servers and data centres that had been leaving for three seconds
 */
public record Measures(
        int calls,
        int answered,
        double inTargetPercent,
        double costPerThousand,
        double rentPerThousand,
        double recomputedTokens,
        int refusedNotRun,
        int lost,
        int untrue,
        int ranTwice,
        double attemptsPerCall,
        int overloads,
        int lateOverloads,
        int warmServers,
        int lateWork) {
    private static final double MILLIS_PER_HOUR = 3_600_000;

    /**
     * Measures a trial that has ended.
     *
     * @param world the trial
     * @param counted which requests count
     */
    public static Measures of(TrialWorld world, Predicate<Call> counted) {
        int calls = 0;
        int answered = 0;
        int inTarget = 0;
        int notRun = 0;
        int lost = 0;
        int untrue = 0;
        int ranTwice = 0;
        int attempts = 0;
        for (Call call : world.calls()) {
            if (!counted.test(call)) {
                continue;
            }
            calls++;
            attempts += call.attempts();
            answered += call.answered() ? 1 : 0;
            boolean good = call.inTarget(Deployments.FIRST_TOKEN_MILLIS, Deployments.BETWEEN_TOKENS_MILLIS);
            inTarget += good ? 1 : 0;
            boolean saysNotRun =
                    call.refusal().filter(r -> r.outcome() == Outcome.NOT_RUN).isPresent();
            notRun += saysNotRun ? 1 : 0;
            lost += !call.answered() && call.attempts() > 0 ? 1 : 0;
            untrue += saysNotRun && call.runs() > 0 ? 1 : 0;
            ranTwice += !call.facts().idempotent() && call.runs() > 1 ? 1 : 0;
        }
        double cost = 0;
        double rent = 0;
        double recomputed = 0;
        int overloads = 0;
        int lateOverloads = 0;
        int warm = 0;
        for (FakeServer server : world.servers()) {
            cost += server.busyMillis() / MILLIS_PER_HOUR * server.listed().centsPerHour();
            rent += world.clock().millis() / MILLIS_PER_HOUR * server.listed().centsPerHour();
            recomputed += server.recomputedTokens();
            overloads += server.overloads();
            lateOverloads += server.lateOverloads();
            warm += server.cold() || server.dead() ? 0 : 1;
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
                untrue,
                ranTwice,
                (double) attempts / Math.max(1, calls),
                overloads,
                lateOverloads,
                warm,
                world.newWorkToLeaving());
    }
}
