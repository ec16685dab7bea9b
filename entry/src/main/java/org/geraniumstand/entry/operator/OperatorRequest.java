package org.geraniumstand.entry.operator;

import java.util.Map;
import java.util.Optional;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;

/**
 * An operator's request with its parameters and body.
 *
 * @param parameters path and query parameters by name
 * @param body request body
 */
public record OperatorRequest(Map<String, String> parameters, String body) {
    private static final int BAD_REQUEST = 400;

    /** Makes a defensive copy of the map. */
    public OperatorRequest {
        parameters = Map.copyOf(parameters);
    }

    /**
     * Returns a parameter, if present.
     *
     * @param name name of the parameter
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    /**
     * Returns whether a parameter has the value {@code true}.
     *
     * @param name name of the parameter
     */
    public boolean flag(String name) {
        return parameter(name).map("true"::equals).orElse(false);
    }

    /**
     * Reads a parameter as a whole number.
     *
     * @param name name of the parameter
     * @param defaultValue default value if the parameter is missing
     */
    public Result<Long, Reply> number(String name, long defaultValue) {
        try {
            return Result.ok(parameter(name).map(Long::parseLong).orElse(defaultValue));
        } catch (NumberFormatException _e) {
            return Result.err(Reply.problem(BAD_REQUEST, "bad-request", name + " must be a whole number."));
        }
    }

    /**
     * Parses the body as JSON.
     *
     * @param type class to parse the body into
     * @param <T> type of the parsed body
     */
    public <T> Result<T, Reply> document(Class<T> type) {
        return Json.read(body, type)
                .mapError(why -> Reply.problem(BAD_REQUEST, "bad-request", "The body is not a valid document: " + why));
    }
}
