package org.geraniumstand.operator.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumstand.model.operation.Problem;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.HttpAnswer;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpCalls;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Calls the operators' listeners of entry processes.
 *
 * <p>Where one does not answer, the next is asked. That is safe for changes too, as each has no further effect when it
 * is repeated.
 */
public final class OperatorClient implements AutoCloseable {
    private static final int FIRST_ERROR = 400;

    private final HttpCalls calls = HttpCalls.start("operator");
    private final List<URI> entries;
    private final String token;
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param entries operators' listeners, the one to ask first in front
     * @param token the operators' bearer token
     * @param timeoutMillis milliseconds that one call may take
     */
    public OperatorClient(List<URI> entries, String token, long timeoutMillis) {
        this.entries = List.copyOf(entries);
        this.token = token;
        this.timeoutMillis = timeoutMillis;
    }

    /** Returns the listeners that are asked. */
    public List<URI> entries() {
        return entries;
    }

    /**
     * Reads a document from the first entry process that answers.
     *
     * @param path path and query
     * @param type the type to read
     * @param <T> the type to read
     */
    public <T> Result<T, ClientError> get(String path, Class<T> type) {
        return call("GET", path, HttpBody.EMPTY).fold(answer -> parse(answer, type), Result::err);
    }

    /**
     * Reads a document from one entry process.
     *
     * @param entry the operators' listener
     * @param path path and query
     * @param type the type to read
     * @param <T> the type to read
     */
    public <T> Result<T, ClientError> getFrom(URI entry, String path, Class<T> type) {
        return send(entry, "GET", path, HttpBody.EMPTY)
                .<Result<HttpAnswer, ClientError>>fold(
                        OperatorClient::checked, failure -> Result.err(unreachable(entry, failure)))
                .fold(answer -> parse(answer, type), Result::err);
    }

    /**
     * Sends a document to the first entry process that answers.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param document the document, or null for none
     * @param type type of the answer
     * @param <T> type of the answer
     */
    public <T> Result<T, ClientError> send(String method, String path, Object document, Class<T> type) {
        HttpBody body = document == null ? HttpBody.EMPTY : HttpBody.of(Json.write(document));
        return call(method, path, body).fold(answer -> parse(answer, type), Result::err);
    }

    @Override
    public void close() {
        calls.close();
    }

    private Result<HttpAnswer, ClientError> call(String method, String path, HttpBody body) {
        List<String> failures = new ArrayList<>();
        for (URI entry : entries) {
            Result<HttpAnswer, HttpFailure> result = send(entry, method, path, body);
            if (result.value().isPresent()) {
                return checked(result.value().get());
            }
            failures.add(unreachable(entry, result.error().orElseThrow()).message());
        }
        return Result.err(ClientError.of(
                ExitCode.UNREACHABLE,
                failures.isEmpty()
                        ? "No entry process is named; use --entry IP:port or GERANIUMSTAND_ENTRY."
                        : String.join("\n", failures)));
    }

    private Result<HttpAnswer, HttpFailure> send(URI entry, String method, String path, HttpBody body) {
        CompletableFuture<Result<HttpAnswer, HttpFailure>> answer = new CompletableFuture<>();
        HttpRequest request = new HttpRequest(method, entry, path, List.of(), body, timeoutMillis, false)
                .withHeader("Authorization", "Bearer " + token);
        calls.send(request, answer::complete);
        return answer.join();
    }

    private static Result<HttpAnswer, ClientError> checked(HttpAnswer answer) {
        if (answer.status() < FIRST_ERROR) {
            return Result.ok(answer);
        }
        return Result.err(problem(answer));
    }

    private static ClientError problem(HttpAnswer answer) {
        try {
            Problem problem = Json.LENIENT.readValue(answer.text(), Problem.class);
            return new ClientError(
                    ExitCode.REFUSED, "Refused (" + problem.reason() + "): " + problem.title(), problem.findings());
        } catch (JsonProcessingException _e) {
            return ClientError.of(ExitCode.REFUSED, "Refused with HTTP status " + answer.status() + ".");
        }
    }

    private static <T> Result<T, ClientError> parse(HttpAnswer answer, Class<T> type) {
        try {
            return Result.ok(Json.LENIENT.readValue(answer.text(), type));
        } catch (JsonProcessingException e) {
            return Result.err(ClientError.of(
                    ExitCode.REFUSED, "The answer cannot be read, the versions may differ: " + e.getOriginalMessage()));
        }
    }

    private static ClientError unreachable(URI entry, HttpFailure failure) {
        String how =
                switch (failure) {
                    case NOT_CONNECTED -> "does not take the connection";
                    case BROKEN -> "broke the connection";
                    case TIMED_OUT -> "did not answer in time";
                };
        return ClientError.of(ExitCode.UNREACHABLE, entry + " " + how + ".");
    }
}
