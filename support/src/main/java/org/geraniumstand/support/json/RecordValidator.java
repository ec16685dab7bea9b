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
 * Checks that the entries of a JSON or YAML text match the components of a record type.
 *
 * <p>Jackson stops at the first mismatch and reports the line at which it detected it; authors of hand-written
 * documents need all mismatches, each with the line of its entry.
 */
public final class RecordValidator {
    private final JsonParser parser;
    private final List<Mismatch> mismatches = new ArrayList<>();

    /**
     * Describes an entry that does not match the record type.
     *
     * @param line line number of the entry, from 1
     * @param path path of the entry, such as {@code routes[2].service}
     * @param message description of the problem and of the allowed entries
     */
    public record Mismatch(int line, String path, String message) {}

    private RecordValidator(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Returns all entries of a text that do not match a record type.
     *
     * @param parser a parser at the start of the text, which is consumed
     * @param type the record type
     * @return unknown, duplicate and missing entries, in the order in which they are detected
     * @throws IOException if the text is malformed
     */
    public static List<Mismatch> findMismatches(JsonParser parser, Class<?> type) throws IOException {
        RecordValidator validator = new RecordValidator(parser);
        parser.nextToken();
        validator.checkValue("", type);
        return List.copyOf(validator.mismatches);
    }

    private void checkValue(String path, Type type) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT && type instanceof Class<?> record && record.isRecord()) {
            checkObject(path, record);
        } else if (token == JsonToken.START_ARRAY && type instanceof ParameterizedType list) {
            checkArray(path, list.getActualTypeArguments()[0]);
        } else {
            // Scalar values are checked when the document is parsed.
            parser.skipChildren();
        }
    }

    private void checkArray(String path, Type element) throws IOException {
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            checkValue(path + "[" + i + "]", element);
        }
    }

    private void checkObject(String path, Class<?> record) throws IOException {
        int line = parser.currentTokenLocation().getLineNr();
        Set<String> seen = new HashSet<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            int fieldLine = parser.currentTokenLocation().getLineNr();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            Optional<RecordComponent> component = findComponent(record, name);
            parser.nextToken();
            if (!seen.add(name)) {
                mismatches.add(new Mismatch(fieldLine, fieldPath, "duplicate entry"));
            }
            if (component.isEmpty()) {
                mismatches.add(new Mismatch(
                        fieldLine, fieldPath, "unknown entry; allowed entries: " + componentNames(record)));
                parser.skipChildren();
            } else {
                checkValue(fieldPath, component.get().getGenericType());
            }
        }
        Stream.of(record.getRecordComponents())
                .filter(c -> c.getType().isPrimitive() && !seen.contains(c.getName()))
                .forEach(c -> mismatches.add(
                        new Mismatch(line, path.isEmpty() ? c.getName() : path + "." + c.getName(), "is missing")));
    }

    private static Optional<RecordComponent> findComponent(Class<?> record, String name) {
        return Stream.of(record.getRecordComponents())
                .filter(c -> c.getName().equals(name))
                .findFirst();
    }

    private static String componentNames(Class<?> record) {
        return Stream.of(record.getRecordComponents())
                .map(RecordComponent::getName)
                .collect(Collectors.joining(", "));
    }
}
