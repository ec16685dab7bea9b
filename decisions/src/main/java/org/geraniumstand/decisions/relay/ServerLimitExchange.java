package org.geraniumstand.decisions.relay;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LimitShare;
import org.geraniumstand.model.relay.ServerLimit;

/**
 * Exchanges the limits that servers have named, and the shares of them, between a process and the aggregators. Not
 * thread-safe.
 */
public final class ServerLimitExchange {
    private final RelayDispatcher dispatcher;
    private final ServerRateShares shares;

    /**
     * Creates an exchange that knows no other process.
     *
     * @param dispatcher the dispatcher that applies the limits
     */
    public ServerLimitExchange(RelayDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        this.shares = new ServerRateShares(dispatcher.processes());
    }

    /**
     * Returns what this process reports to the aggregators.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<LimitDemand> report(long nowNanos) {
        return dispatcher.limitDemands(nowNanos);
    }

    /**
     * Records, as an aggregator, what a process reported.
     *
     * @param from the reporting process
     * @param demands its report
     * @param nowNanos the monotonic time in nanoseconds
     * @return the limits that changed
     */
    public List<ServerLimit> onReport(ProcessId from, List<LimitDemand> demands, long nowNanos) {
        shares.onReport(from, demands, nowNanos);
        return demands.stream()
                .map(LimitDemand::limit)
                .filter(limit -> dispatcher.fleet().limits().onRemote(limit, nowNanos))
                .toList();
    }

    /**
     * Returns, as an aggregator, the limits of all processes and the shares that a process may use of them.
     *
     * @param process the process that reported
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<LimitShare> shares(ProcessId process, long nowNanos) {
        return dispatcher.fleet().limits().recent(nowNanos).stream()
                .map(limit -> new LimitShare(limit, share(process, limit, nowNanos)))
                .toList();
    }

    private OptionalDouble share(ProcessId process, ServerLimit limit, long nowNanos) {
        return Double.isFinite(limit.perSecond())
                ? shares.share(process, limit.server(), limit.perSecond(), nowNanos)
                : OptionalDouble.empty();
    }

    /**
     * Records what an aggregator answered to a report of this process.
     *
     * @param rank position of the aggregator in the order of precedence
     * @param granted the limits and shares
     * @param nowNanos the monotonic time in nanoseconds
     * @return the limits that changed
     */
    public List<ServerLimit> onShares(int rank, List<LimitShare> granted, long nowNanos) {
        List<ServerLimit> changed = granted.stream()
                .map(LimitShare::limit)
                .filter(limit -> dispatcher.fleet().limits().onRemote(limit, nowNanos))
                .toList();
        for (LimitShare share : granted) {
            if (share.share().isPresent()) {
                dispatcher.onGrant(rank, share.limit().server(), share.share().getAsDouble(), nowNanos);
            }
        }
        return changed;
    }

    /**
     * Removes the reports of processes that have ended or have stopped reporting.
     *
     * @param live the processes that are still members
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        shares.retain(live, nowNanos);
    }
}
