package org.geraniumstand.entry.operator;

import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;

/** Changes the operators' configuration in the store by compare-and-swap. */
@FunctionalInterface
public interface ConfigurationChanges {
    /**
     * Applies an edit to the newest document and writes the outcome at the next generation.
     *
     * @param edit the edit
     * @param callback told the document that is accepted, or why there is none
     */
    void change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback);

    /**
     * An accepted document.
     *
     * @param configuration the document
     * @param changed false if it stood already
     */
    record Accepted(Configuration configuration, boolean changed) {}
}
