package org.geraniumstand.entry.task;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.membership.WatcherChoice;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;

/**
 * Reads the operators' configuration from the store and watches it for changes.
 *
 * <p>Only a few members watch the store. The others receive the configuration from peers and read the store only if no
 * peer has confirmed their configuration within the last 15 s, or the last second if they have none.
 */
public final class ConfigurationWatch {
    private static final long ROLE_MILLIS = 500;
    private static final long BETWEEN_WATCHES_MILLIS = 50;
    private static final long UNCONFIRMED_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long FIRST_READ_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ConfigurationStore store;
    private final Timer timer;
    private final String key;
    private final ProcessId self;
    private final SharedState facts;
    private final StoreContact contact;
    private long lastReadNanos;

    /**
     * Creates a watch.
     *
     * @param store platform's configuration store
     * @param timer schedules the calls
     * @param key key of the configuration document
     * @param self ID of this process
     * @param facts receives each document read
     * @param contact tracks whether the store answers
     */
    public ConfigurationWatch(
            ConfigurationStore store,
            Timer timer,
            String key,
            ProcessId self,
            SharedState facts,
            StoreContact contact) {
        this.store = store;
        this.timer = timer;
        this.key = key;
        this.self = self;
        this.facts = facts;
        this.contact = contact;
    }

    /** Starts the watch, which runs until the timer stops. */
    public void start() {
        read();
    }

    private void next() {
        GossipView view = facts.view();
        if (WatcherChoice.watches(self, view.members())) {
            watch(0);
        } else if (isReadDue(view, System.nanoTime())) {
            read();
        } else {
            timer.after(this::next, ROLE_MILLIS);
        }
    }

    private boolean isReadDue(GossipView view, long now) {
        long limit = view.generation() < 0 ? FIRST_READ_NANOS : UNCONFIRMED_NANOS;
        boolean unconfirmed = view.confirmedNanos().map(at -> now - at > limit).orElse(true);
        return unconfirmed && now - lastReadNanos > limit;
    }

    private void read() {
        lastReadNanos = System.nanoTime();
        store.read(
                key,
                result -> result.fold(
                        stored -> {
                            contact.onAnswer();
                            stored.ifPresent(found -> facts.onStoredConfiguration(found.value()));
                            timer.after(this::next, contact.spread(ROLE_MILLIS));
                            return true;
                        },
                        this::fail));
    }

    private void watch(long index) {
        store.watch(
                key,
                index,
                result -> result.fold(
                        watched -> {
                            contact.onAnswer();
                            accept(watched.entries());
                            continueWatch(watched.index(), index);
                            return true;
                        },
                        this::fail));
    }

    private void accept(List<ConfigurationStore.Entry> entries) {
        entries.stream()
                .filter(entry -> entry.key().equals(key))
                .forEach(entry -> facts.onStoredConfiguration(entry.stored().value()));
    }

    // An index that decreased means that the store was restored, so the watch restarts at index 0.
    private void continueWatch(long index, long before) {
        if (!WatcherChoice.watches(self, facts.view().members())) {
            timer.after(this::next, ROLE_MILLIS);
            return;
        }
        long from = index < before ? 0 : index;
        timer.after(() -> watch(from), from == 0 ? ROLE_MILLIS : BETWEEN_WATCHES_MILLIS);
    }

    private boolean fail(StoreError _error) {
        timer.after(this::next, contact.onFailure());
        return false;
    }
}
