package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.ProcessId;

/** Exchanges what waits between simulated processes. */
final class Exchange {
    private final WaitingSums sums = new WaitingSums();

    static ProcessId id(int index) {
        return new ProcessId("process-" + index);
    }

    /** Reports what waits at a process, which receives the sums of the others. */
    void report(int index, RelayDispatcher dispatcher, long nowNanos) {
        sums.onReport(id(index), dispatcher.waitingCalls(nowNanos), nowNanos);
        dispatcher.onRemoteWaiting(sums.sumExcluding(id(index)), nowNanos);
    }
}
