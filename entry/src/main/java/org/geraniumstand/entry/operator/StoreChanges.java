package org.geraniumstand.entry.operator;

import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.platform.json.Json;
import org.geraniumstand.platform.store.ConfigurationStore;
import org.geraniumstand.platform.store.StoreError;
import org.geraniumstand.platform.store.Stored;

/** Writes the configuration to the platform's store; a lost answer is settled by reading back. */
public final class StoreChanges implements ConfigurationChanges {
    private static final int MAX_TRIES = 8;

    private final ConfigurationStore store;
    private final String key;

    /**
     * Creates a writer.
     *
     * @param store the platform's store
     * @param key key of the document
     */
    public StoreChanges(ConfigurationStore store, String key) {
        this.store = store;
        this.key = key;
    }

    @Override
    public void change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback) {
        new Change(edit, callback).read(MAX_TRIES);
    }

    /** One change on its way. */
    private final class Change {
        private final ConfigurationEdit edit;
        private final Consumer<Result<Accepted, ChangeError>> callback;

        Change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback) {
            this.edit = edit;
            this.callback = callback;
        }

        void read(int tries) {
            if (tries == 0) {
                refuse(ChangeError.Kind.CONFLICT, "Other operators keep changing the configuration; try again.");
                return;
            }
            store.read(key, result -> accept(result, tries));
        }

        private void accept(Result<Optional<Stored>, StoreError> result, int tries) {
            if (result.error().isPresent()) {
                refuse(ChangeError.Kind.STORE_UNAVAILABLE, "The store does not answer; nothing was changed.");
                return;
            }
            Optional<Stored> stored = result.value().orElseThrow();
            Result<Optional<Configuration>, String> current = parse(stored);
            if (current.error().isPresent()) {
                refuse(ChangeError.Kind.INVALID, "The stored configuration cannot be read.");
                return;
            }
            Optional<Configuration> document = current.value().orElseThrow();
            long index = stored.map(Stored::index).orElse(0L);
            Result<Configuration, ChangeError> edited = edit.apply(document);
            edited.error().ifPresent(error -> callback.accept(Result.err(error)));
            edited.value().ifPresent(next -> write(document, next, index, tries));
        }

        private void write(Optional<Configuration> current, Configuration edited, long index, int tries) {
            if (current.filter(edited::equals).isPresent()) {
                callback.accept(Result.ok(new Accepted(edited, false)));
                return;
            }
            Configuration next =
                    edited.withGeneration(current.map(Configuration::generation).orElse(0L) + 1);
            String text = Json.write(next);
            store.compareAndSwap(
                    key,
                    text,
                    index,
                    result -> result.fold(
                            written -> {
                                if (written) {
                                    callback.accept(Result.ok(new Accepted(next, true)));
                                } else {
                                    read(tries - 1);
                                }
                                return written;
                            },
                            _error -> {
                                readBack(next, text);
                                return false;
                            }));
        }

        private void readBack(Configuration next, String text) {
            store.read(key, result -> {
                Optional<Optional<Stored>> found = result.value();
                boolean stands = found.flatMap(stored -> stored)
                        .map(stored -> stored.value().equals(text))
                        .orElse(false);
                if (stands) {
                    callback.accept(Result.ok(new Accepted(next, true)));
                } else {
                    refuse(
                            ChangeError.Kind.UNSETTLED,
                            "The store's answer was lost, so the change may or may not be accepted; ask for the"
                                    + " status before trying again.");
                }
            });
        }

        private void refuse(ChangeError.Kind kind, String title) {
            callback.accept(Result.err(ChangeError.of(kind, title)));
        }
    }

    private static Result<Optional<Configuration>, String> parse(Optional<Stored> stored) {
        if (stored.isEmpty()) {
            return Result.ok(Optional.empty());
        }
        return Json.read(stored.get().value(), Configuration.class).map(Optional::of);
    }
}
