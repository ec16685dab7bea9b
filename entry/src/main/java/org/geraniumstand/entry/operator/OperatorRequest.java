package org.geraniumstand.entry.operator;

import java.util.Map;
import java.util.Optional;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;

/**
 * A request of operators with its body.
 *
 * @param parameters parameters of path and query
 * @param body the body
 */
public record OperatorRequest(Map<String, String> parameters, String body) {
    private static final int BAD_REQUEST = 400;

    /** Copies the map. */
    public OperatorRequest {
        parameters = Map.copyOf(parameters);
    }

    /**
     * Finds a parameter.
     *
     * @param name its name
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    /**
     * Returns whether a parameter says true.
     *
     * @param name its name
     */
    public boolean flag(String name) {
        return parameter(name).map("true"::equals).orElse(false);
    }

    /**
     * Reads a parameter as a whole number.
     *
     * @param name its name
     * @param absent the number if it is not there
     */
    public Result<Long, Reply> number(String name, long absent) {
        try {
            return Result.ok(parameter(name).map(Long::parseLong).orElse(absent));
        } catch (NumberFormatException _e) {
            return Result.err(Reply.problem(BAD_REQUEST, "bad-request", name + " must be a whole number."));
        }
    }

    /**
     * Reads the body as JSON.
     *
     * @param type the type to read
     * @param <T> the type to read
     */
    public <T> Result<T, Reply> document(Class<T> type) {
        return Json.read(body, type)
                .mapError(why -> Reply.problem(BAD_REQUEST, "bad-request", "The body cannot be read: " + why));
    }
}
