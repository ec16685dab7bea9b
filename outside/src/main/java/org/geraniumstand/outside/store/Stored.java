package org.geraniumstand.outside.store;

/**
 * A value of the store with the index that compare-and-swap needs.
 *
 * @param value the bytes, as text in UTF-8
 * @param index grows with each change of the key; zero stands for a key that does not exist
 */
public record Stored(String value, long index) {}
