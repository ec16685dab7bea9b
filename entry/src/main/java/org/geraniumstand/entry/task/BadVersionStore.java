package org.geraniumstand.entry.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.log.Log;

/** Persists bad versions in the store, one key per version move, and retries until the store answers. */
public final class BadVersionStore {
    private static final Log LOG = Log.of(BadVersionStore.class);

    private final ConfigurationStore store;
    private final Timer timer;
    private final String prefix;
    private final StoreAvailability availability;
    private final Consumer<List<BadVersion>> onRead;

    /**
     * Creates a store of bad versions.
     *
     * @param store platform's configuration store
     * @param timer schedules retries
     * @param prefix key prefix of the bad versions, ends with a slash
     * @param availability tracks whether the store answers
     * @param onRead receives the bad versions that the store holds at the start
     */
    public BadVersionStore(
            ConfigurationStore store,
            Timer timer,
            String prefix,
            StoreAvailability availability,
            Consumer<List<BadVersion>> onRead) {
        this.store = store;
        this.timer = timer;
        this.prefix = prefix;
        this.availability = availability;
        this.onRead = onRead;
    }

    /** Reads the stored bad versions; retries until the store answers. */
    public void start() {
        store.list(
                prefix,
                result -> result.fold(
                        entries -> {
                            availability.onSuccess();
                            accept(entries);
                            return true;
                        },
                        _error -> retry(this::start)));
    }

    /**
     * Writes a bad version; retries until the store answers.
     *
     * @param badVersion bad version to write
     */
    public void write(BadVersion badVersion) {
        // Index 0 requires that the key does not exist: the first record of a move is kept, whichever process wrote it.
        store.compareAndSwap(
                prefix + badVersion.move(),
                Json.write(badVersion),
                0,
                result -> result.fold(
                        written -> {
                            availability.onSuccess();
                            LOG.info(
                                    "bad-mark-stored", Field.of("move", badVersion.move()), Field.of("first", written));
                            return true;
                        },
                        _error -> retry(() -> write(badVersion))));
    }

    private boolean retry(Runnable task) {
        timer.after(task, availability.onFailure());
        return false;
    }

    private void accept(List<ConfigurationStore.Entry> entries) {
        List<BadVersion> badVersions =
                entries.stream().flatMap(e -> read(e.storedValue().value())).toList();
        if (!badVersions.isEmpty()) {
            onRead.accept(badVersions);
        }
    }

    private static Stream<BadVersion> read(String text) {
        try {
            BadVersion read = Json.LENIENT.readValue(text, BadVersion.class);
            if (read != null && read.move() != null && read.service() != null && read.version() != null) {
                return Stream.of(read);
            }
            LOG.warn("bad-mark-unreadable", Field.of("reason", "a name is missing"));
            return Stream.empty();
        } catch (JsonProcessingException e) {
            LOG.warn("bad-mark-unreadable", Field.of("reason", e.getOriginalMessage()));
            return Stream.empty();
        }
    }
}
