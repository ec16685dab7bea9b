package org.geraniumstand.http.opaque;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.geraniumstand.outside.relay.HeaderView;

/**
 * Provides read access to the headers of a message that the HTTP library parsed.
 *
 * @param map the headers, which must not be modified while this view is in use
 */
record UndertowHeaders(HeaderMap map) implements HeaderView {
    @Override
    public Optional<String> first(String name) {
        return Optional.ofNullable(map.getFirst(name));
    }

    @Override
    public int count(String name) {
        return map.contains(name) ? map.get(name).size() : 0;
    }

    @Override
    public void forEach(BiConsumer<String, String> visitor) {
        for (HeaderValues values : map) {
            String name = values.getHeaderName().toString();
            values.forEach(value -> visitor.accept(name, value));
        }
    }
}
