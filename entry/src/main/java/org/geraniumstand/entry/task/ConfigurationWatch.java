package org.geraniumstand.entry.task;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.membership.WatcherChoice;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;
import org.geraniumstand.support.task.StepGuard;

/**
 * Reads the operators' configuration from the store and watches it for changes.
 *
 * <p>Only a few members watch the store. The others receive the configuration from peers and read the store only if no
 * peer has confirmed their configuration within the last 15 s, or the last second if they have none.
 */
public final class ConfigurationWatch {
    private static final long ROLE_CHECK_MILLIS = 500;
    private static final long WATCH_INTERVAL_MILLIS = 50;
    private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long INITIAL_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final StepGuard guard = new StepGuard("configuration-watch");
    private final ConfigurationStore store;
    private final Timer timer;
    private final String key;
    private final ProcessId self;
    private final SharedState sharedState;
    private final StoreAvailability availability;
    private long lastReadNanos;

    /**
     * Creates a watch.
     *
     * @param store platform's configuration store
     * @param timer schedules the calls
     * @param key key of the configuration document
     * @param self ID of this process
     * @param sharedState receives each document read
     * @param availability tracks whether the store answers
     */
    public ConfigurationWatch(
            ConfigurationStore store,
            Timer timer,
            String key,
            ProcessId self,
            SharedState sharedState,
            StoreAvailability availability) {
        this.store = store;
        this.timer = timer;
        this.key = key;
        this.self = self;
        this.sharedState = sharedState;
        this.availability = availability;
    }

    /** Starts the watch, which runs until the timer stops. */
    public void start() {
        read();
    }

    private void continueByRole() {
        GossipView view = sharedState.view();
        if (WatcherChoice.watches(self, view.members())) {
            watch(0);
        } else if (isReadDue(view, System.nanoTime())) {
            read();
        } else {
            timer.after(this::continueByRole, ROLE_CHECK_MILLIS);
        }
    }

    private boolean isReadDue(GossipView view, long now) {
        long limit = view.generation() < 0 ? INITIAL_READ_INTERVAL_NANOS : CONFIRMATION_TIMEOUT_NANOS;
        boolean unconfirmed = view.confirmedNanos().map(at -> now - at > limit).orElse(true);
        return unconfirmed && now - lastReadNanos > limit;
    }

    private void read() {
        lastReadNanos = System.nanoTime();
        store.read(
                key,
                result -> result.fold(
                        stored -> {
                            availability.onSuccess();
                            stored.ifPresent(this::report);
                            timer.after(this::continueByRole, availability.jitter(ROLE_CHECK_MILLIS));
                            return true;
                        },
                        this::retryLater));
    }

    private void watch(long index) {
        store.watch(
                key,
                index,
                result -> result.fold(
                        watched -> {
                            availability.onSuccess();
                            accept(watched.entries());
                            continueWatch(watched.index(), index);
                            return true;
                        },
                        this::retryLater));
    }

    private void accept(List<ConfigurationStore.Entry> entries) {
        entries.stream().filter(entry -> entry.key().equals(key)).forEach(entry -> report(entry.storedValue()));
    }

    private void report(StoredValue stored) {
        guard.run("configuration", key, () -> sharedState.onStoredConfiguration(stored.value()));
    }

    // An index that decreased means that the store was restored, so the watch restarts at index 0.
    private void continueWatch(long index, long previousIndex) {
        if (!WatcherChoice.watches(self, sharedState.view().members())) {
            timer.after(this::continueByRole, ROLE_CHECK_MILLIS);
            return;
        }
        long startIndex = index < previousIndex ? 0 : index;
        timer.after(() -> watch(startIndex), startIndex == 0 ? ROLE_CHECK_MILLIS : WATCH_INTERVAL_MILLIS);
    }

    private boolean retryLater(StoreError _error) {
        timer.after(this::continueByRole, availability.onFailure());
        return false;
    }
}
