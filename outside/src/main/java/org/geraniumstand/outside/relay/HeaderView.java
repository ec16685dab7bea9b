package org.geraniumstand.outside.relay;

import java.util.Optional;
import java.util.function.BiConsumer;

/** Provides read access to the headers of an HTTP message; names are case-insensitive. */
public interface HeaderView {
    /**
     * Returns the first value of a header.
     *
     * @param name name of the header
     */
    Optional<String> first(String name);

    /**
     * Returns the number of occurrences of a header in the message.
     *
     * @param name name of the header
     */
    int count(String name);

    /**
     * Passes all headers to a visitor.
     *
     * @param visitor called with name and value, once for each value
     */
    void forEach(BiConsumer<String, String> visitor);
}
