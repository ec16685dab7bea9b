package org.geraniumstand.outside.relay;

import java.util.List;
import org.geraniumstand.model.relay.StoreEntry;

/** Defines the keys of the store entries that other systems write, and parses the entries. */
public interface EntryReader {
    /**
     * Parses an entry.
     *
     * @param key key of the entry
     * @param value value of the entry, decoded as UTF-8
     */
    StoreEntry read(String key, String value);

    /**
     * Parses a configuration.
     *
     * @param text the document as stored
     */
    StoreEntry readConfiguration(String text);

    /**
     * Returns the subject of a removed entry.
     *
     * @param key key of the removed entry
     */
    StoreEntry.Removed readRemoved(String key);

    /**
     * Returns the key prefixes of the entries that other systems write; the prefix of the configuration comes first.
     */
    List<String> prefixes();
}
