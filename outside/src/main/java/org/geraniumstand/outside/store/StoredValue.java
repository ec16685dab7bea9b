package org.geraniumstand.outside.store;

/**
 * Holds a value of the store with the index that compare-and-swap requires.
 *
 * @param value the value, decoded as UTF-8
 * @param index modification index, which increases with each change of the key; zero if the key does not exist
 */
public record StoredValue(String value, long index) {}
