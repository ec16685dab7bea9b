package org.geraniumstand.entry.operator;

import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;

/** Changes the operators' configuration in the store by compare-and-swap. */
@FunctionalInterface
public interface ConfigurationChanges {
    /**
     * Applies an edit to the newest document and writes the edited document with the next generation.
     *
     * @param edit edit to apply
     * @param callback receives the accepted document, or the error
     */
    void change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback);

    /**
     * An accepted document.
     *
     * @param configuration accepted document
     * @param changed whether the document differs from the one before the edit
     */
    record Accepted(Configuration configuration, boolean changed) {}
}
