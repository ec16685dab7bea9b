package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.ProcessId;

/** Exchanges what waits between simulated processes. */
final class Exchange {
    static ProcessId id(int index) {
        return new ProcessId("process-" + index);
    }

    void report(int _index, RelayDispatcher _dispatcher, long _nowNanos) {}
}
