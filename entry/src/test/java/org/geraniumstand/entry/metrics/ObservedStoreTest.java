package org.geraniumstand.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.entry.metrics.ObservedStore.State;
import org.junit.jupiter.api.Test;

final class ObservedStoreTest {
    private final FakeStore store = new FakeStore();
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final List<State> changes = new ArrayList<>();
    private final ObservedStore observed = new ObservedStore(store, metrics, changes::add);

    @Test
    void stateIsUnknownBeforeFirstCall() {
        assertThat(observed.state(), is(State.UNKNOWN));
    }

    @Test
    void reportsEachStateChangeOnce() {
        call(false);
        call(false);
        call(true);
        call(true);
        call(false);

        assertThat(changes, contains(State.REACHABLE, State.UNREACHABLE, State.REACHABLE));
    }

    @Test
    void countsCallsAndFailures() {
        call(false);
        call(true);

        assertThat(metrics.text(), containsString("geraniumstand_store_calls_total 2\n"));
        assertThat(metrics.text(), containsString("geraniumstand_store_failures_total 1\n"));
    }

    private void call(boolean down) {
        store.setDown(down);
        observed.read("key", _result -> {});
    }
}
