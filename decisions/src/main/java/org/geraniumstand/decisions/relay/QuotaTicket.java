package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.RelayTeam;

/** A request that waits for units of its team's quota. Not thread-safe. */
public final class QuotaTicket {
    private final RelayTeam team;
    private final long cost;
    private final long sinceNanos;
    private Optional<ProcessId> askedAggregator = Optional.empty();
    private long askedNumber;
    private Optional<QuotaAdmission> decision = Optional.empty();

    QuotaTicket(RelayTeam team, long cost, long sinceNanos) {
        this.team = team;
        this.cost = cost;
        this.sinceNanos = sinceNanos;
    }

    RelayTeam team() {
        return team;
    }

    /** Returns the units that the request consumes. */
    long cost() {
        return cost;
    }

    /** Returns when the request started to wait, on the monotonic clock in nanoseconds. */
    long sinceNanos() {
        return sinceNanos;
    }

    void onAsked(ProcessId aggregator, long number) {
        askedAggregator = Optional.of(aggregator);
        askedNumber = number;
    }

    /** Returns whether an answer of an aggregator covers this request. */
    boolean isAnsweredBy(ProcessId aggregator, long number) {
        return askedAggregator.equals(Optional.of(aggregator)) && askedNumber <= number;
    }

    Optional<QuotaAdmission> decision() {
        return decision;
    }

    QuotaAdmission decide(QuotaAdmission admission) {
        decision = Optional.of(admission);
        return admission;
    }
}
