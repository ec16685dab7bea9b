package org.geraniumstand.outside.relay;

import java.util.List;
import org.geraniumstand.model.relay.StoreFact;

/** Knows where the entries that others write stand in the store and how to read them. */
public interface FactReader {
    /**
     * Reads an entry.
     *
     * @param key its key
     * @param value its bytes as text in UTF-8
     */
    StoreFact read(String key, String value);

    /**
     * Reads a configuration.
     *
     * @param text the document as the store holds it
     */
    StoreFact plan(String text);

    /**
     * Returns what a removed entry was about.
     *
     * @param key its key
     */
    StoreFact.Removed removed(String key);

    /** Returns the prefixes of the keys that others write, the one of the configuration first. */
    List<String> prefixes();
}
