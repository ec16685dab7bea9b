package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.support.log.Log;

/**
 * Keeps the prompts in quarantine in the store, so that they outlast a restart of all processes.
 *
 * <p>One process writes, and only when the quarantine changes; each process reads once after it has started.
 */
final class QuarantineStore {
    static final String KEY = "geraniumstand/quarantine";
    private static final Log LOG = Log.of(QuarantineStore.class);

    /** Delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 700;

    private final RevisionStore store;
    private final Timer timer;
    private final LongSupplier epochMillis;
    private Map<Set<ServicePart>, Integer> stored = Map.of();
    private boolean read;

    /** Whether the store was restored since the last write, so that it may hold other prompts than were written. */
    private boolean restored;

    private boolean busy;

    /**
     * Creates access to an entry that has not been read.
     *
     * @param store the store
     * @param timer delays repeated calls
     * @param epochMillis time of the wall clock in Unix milliseconds
     */
    QuarantineStore(RevisionStore store, Timer timer, LongSupplier epochMillis) {
        this.store = store;
        this.timer = timer;
        this.epochMillis = epochMillis;
        store.era().onRestored(_era -> restored = true);
    }

    /** Reads the prompts that an earlier process wrote, as soon as the store answers. */
    void read(Consumer<List<QuarantinedPrompt>> onPrompts) {
        store.read(
                KEY,
                result -> result.fold(
                        item -> {
                            read = true;
                            item.ifPresent(present -> onPrompts.accept(parse(present)));
                            return true;
                        },
                        _error -> {
                            timer.after(() -> read(onPrompts), RETRY_MILLIS);
                            return false;
                        }));
    }

    private List<QuarantinedPrompt> parse(Item item) {
        try {
            List<QuarantinedPrompt> prompts = QuarantineDocument.read(item.value(), epochMillis.getAsLong());
            stored = trials(prompts);
            LOG.info("quarantine-read", Field.of("prompts", prompts.size()));
            return prompts;
        } catch (IOException e) {
            LOG.warn("quarantine-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getMessage()));
            return List.of();
        }
    }

    /** Writes the prompts in quarantine if they differ from what the store has or if it was restored from a backup. */
    void write(List<QuarantinedPrompt> prompts) {
        Map<Set<ServicePart>, Integer> next = trials(prompts);
        if (!read || busy || (next.equals(stored) && !restored)) {
            return;
        }
        busy = true;
        store.commit(
                Commit.put(KEY, QuarantineDocument.write(prompts, epochMillis.getAsLong()), StoreLease.NONE),
                result -> result.fold(
                        _revision -> {
                            stored = next;
                            restored = false;
                            busy = false;
                            LOG.info("quarantine-written", Field.of("prompts", prompts.size()));
                            return true;
                        },
                        error -> {
                            LOG.warn("quarantine-unwritten", Field.of("error", error));
                            timer.after(() -> busy = false, RETRY_MILLIS);
                            return false;
                        }));
    }

    private static Map<Set<ServicePart>, Integer> trials(List<QuarantinedPrompt> prompts) {
        Map<Set<ServicePart>, Integer> trials = new HashMap<>();
        prompts.forEach(prompt -> trials.put(Set.copyOf(prompt.parts()), prompt.trials()));
        return trials;
    }
}
