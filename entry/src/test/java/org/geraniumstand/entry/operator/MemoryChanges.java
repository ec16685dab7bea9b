package org.geraniumstand.entry.operator;

import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;

/** Applies changes to a configuration in memory, or reports that the store is unavailable. */
final class MemoryChanges implements ConfigurationChanges {
    private Optional<Configuration> document = Optional.empty();
    private boolean unavailable;

    void put(Configuration configuration) {
        document = Optional.of(configuration);
    }

    void setUnavailable() {
        unavailable = true;
    }

    Optional<Configuration> document() {
        return document;
    }

    @Override
    public void change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback) {
        if (unavailable) {
            callback.accept(
                    Result.err(ChangeError.of(ChangeError.Kind.STORE_UNAVAILABLE, "The store is unavailable.")));
            return;
        }
        callback.accept(edit.apply(document).map(this::accept));
    }

    private Accepted accept(Configuration edited) {
        if (document.filter(edited::equals).isPresent()) {
            return new Accepted(edited, false);
        }
        long generation = document.map(Configuration::generation).orElse(0L) + 1;
        document = Optional.of(edited.withGeneration(generation));
        return new Accepted(document.get(), true);
    }
}
