package org.geraniumstand.entry.task;

import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.json.Json;
import org.geraniumstand.platform.log.Log;
import org.geraniumstand.platform.net.HttpCalls;
import org.geraniumstand.platform.store.ConfigurationStore;

/** Watches the operators' configuration in the store and tells the core of each newer document. */
public final class ConfigurationWatch {
    private static final Log LOG = Log.of(ConfigurationWatch.class);
    private static final long RETRY_MILLIS = 500;

    private final ConfigurationStore store;
    private final HttpCalls calls;
    private final String key;
    private final CoreInbox core;

    /**
     * Creates a watch.
     *
     * @param store the platform's store
     * @param calls waits between tries
     * @param key key of the document
     * @param core told of each document
     */
    public ConfigurationWatch(ConfigurationStore store, HttpCalls calls, String key, CoreInbox core) {
        this.store = store;
        this.calls = calls;
        this.key = key;
        this.core = core;
    }

    /** Starts to watch; it goes on until the calls are closed. */
    public void start() {
        watch(0);
    }

    private void watch(long index) {
        store.watch(
                key,
                index,
                result -> result.fold(
                        watched -> {
                            watched.entries()
                                    .forEach(entry -> accept(entry.stored().value()));
                            return next(watched.index(), watched.entries().isEmpty());
                        },
                        _error -> next(0, true)));
    }

    private long next(long index, boolean wait) {
        if (wait) {
            calls.schedule(() -> watch(index), RETRY_MILLIS);
        } else {
            watch(index);
        }
        return index;
    }

    private void accept(String text) {
        Json.read(text, Configuration.class)
                .fold(
                        configuration -> {
                            core.tell(new Observation.ConfigurationAccepted(configuration));
                            return configuration;
                        },
                        why -> {
                            LOG.warn("configuration-unreadable", Field.of("reason", why));
                            return why;
                        });
    }
}
