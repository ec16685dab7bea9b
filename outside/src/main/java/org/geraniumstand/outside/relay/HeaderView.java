package org.geraniumstand.outside.relay;

import java.util.Optional;
import java.util.function.BiConsumer;

/** Read access to the headers of a message; names are compared without regard to case. */
public interface HeaderView {
    /**
     * Returns the first value of a header.
     *
     * @param name the header's name
     */
    Optional<String> first(String name);

    /**
     * Returns how often a header stands in the message.
     *
     * @param name the header's name
     */
    int count(String name);

    /**
     * Visits all headers.
     *
     * @param visitor told name and value, once for each value
     */
    void each(BiConsumer<String, String> visitor);
}
