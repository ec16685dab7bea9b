package org.geraniumstand.support.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.stream.Collectors;
import org.geraniumstand.model.result.Result;

/** The one JSON mapper that all adapters share. */
public final class Json {
    private static final String NULL_FOR_NUMBER = "Cannot map `null` into type";

    /** Maps records to JSON and back; unknown properties are refused. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    /** Maps JSON of outside systems; unknown properties are skipped. */
    public static final JsonMapper LENIENT = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /**
     * Writes a value as JSON.
     *
     * @param value a record of the model
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /**
     * Reads a value from JSON.
     *
     * @param text the JSON text
     * @param type the type to read
     * @param <T> the type to read
     */
    public static <T> Result<T, String> read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Result.err("the document is empty") : Result.ok(value);
        } catch (JsonProcessingException e) {
            return Result.err(explain(e));
        }
    }

    /**
     * Says what is wrong with a text and at which entry, without quoting more of it than the entry's name.
     *
     * @param e why the text could not be read
     */
    public static String explain(JsonProcessingException e) {
        String message = e.getOriginalMessage();
        if (!(e instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
            return message;
        }
        String path = mapping.getPath().stream()
                .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : "." + step.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
        return path + ": " + (message.startsWith(NULL_FOR_NUMBER) ? "is missing" : message);
    }
}
