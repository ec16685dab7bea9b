package org.geraniumstand.support.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Compares a JSON or YAML text with the record that it shall become, entry by entry.
 *
 * <p>Jackson stops at the first wrong entry and gives the line where it noticed it; people who write documents by hand
 * need all of them with their own lines.
 */
public final class RecordShape {
    private final JsonParser parser;
    private final List<Mismatch> mismatches = new ArrayList<>();

    /**
     * An entry that does not fit.
     *
     * @param line its line, from 1
     * @param path its path, such as {@code routes[2].service}
     * @param message what is wrong and what is allowed
     */
    public record Mismatch(int line, String path, String message) {}

    private RecordShape(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Compares a text with a record.
     *
     * @param parser the parser at the start of the text; it is read to its end
     * @param type the record
     * @return unknown, double and missing entries, in order
     * @throws IOException if the text is malformed
     */
    public static List<Mismatch> mismatches(JsonParser parser, Class<?> type) throws IOException {
        RecordShape shape = new RecordShape(parser);
        parser.nextToken();
        shape.value("", type);
        return List.copyOf(shape.mismatches);
    }

    private void value(String path, Type type) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT && type instanceof Class<?> record && record.isRecord()) {
            object(path, record);
        } else if (token == JsonToken.START_ARRAY && type instanceof ParameterizedType list) {
            array(path, list.getActualTypeArguments()[0]);
        } else {
            // What a single value may be is checked when it is read.
            parser.skipChildren();
        }
    }

    private void array(String path, Type element) throws IOException {
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            value(path + "[" + i + "]", element);
        }
    }

    private void object(String path, Class<?> record) throws IOException {
        int line = parser.currentTokenLocation().getLineNr();
        Set<String> seen = new HashSet<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            int fieldLine = parser.currentTokenLocation().getLineNr();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            Optional<RecordComponent> component = component(record, name);
            parser.nextToken();
            if (!seen.add(name)) {
                mismatches.add(new Mismatch(fieldLine, fieldPath, "the entry stands twice"));
            }
            if (component.isEmpty()) {
                mismatches.add(
                        new Mismatch(fieldLine, fieldPath, "there is no such entry; allowed here: " + names(record)));
                parser.skipChildren();
            } else {
                value(fieldPath, component.get().getGenericType());
            }
        }
        Stream.of(record.getRecordComponents())
                .filter(c -> c.getType().isPrimitive() && !seen.contains(c.getName()))
                .forEach(c -> mismatches.add(
                        new Mismatch(line, path.isEmpty() ? c.getName() : path + "." + c.getName(), "is missing")));
    }

    private static Optional<RecordComponent> component(Class<?> record, String name) {
        return Stream.of(record.getRecordComponents())
                .filter(c -> c.getName().equals(name))
                .findFirst();
    }

    private static String names(Class<?> record) {
        return Stream.of(record.getRecordComponents())
                .map(RecordComponent::getName)
                .collect(Collectors.joining(", "));
    }
}
