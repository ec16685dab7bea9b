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
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Sends requests to the operators' listeners of entry processes.
 *
 * <p>If one does not respond, the request is retried at the next. This is safe for changes too, as each change is
 * idempotent.
 */
public final class OperatorClient implements AutoCloseable {
    private static final int MIN_ERROR_STATUS = 400;

    private final AsyncHttpClient httpClient = AsyncHttpClient.start("operator");
    private final List<URI> entries;
    private final String token;
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param entries operators' listeners in the order in which they are tried
     * @param token the operators' bearer token
     * @param timeoutMillis timeout of one call, in milliseconds
     */
    public OperatorClient(List<URI> entries, String token, long timeoutMillis) {
        this.entries = List.copyOf(entries);
        this.token = token;
        this.timeoutMillis = timeoutMillis;
    }

    /** Returns the operators' listeners that were given. */
    public List<URI> entries() {
        return entries;
    }

    /**
     * Reads a document from the first entry process that responds.
     *
     * @param path path and query
     * @param type the type of the document
     * @param <T> the type of the document
     */
    public <T> Result<T, ClientError> get(String path, Class<T> type) {
        return sendToFirst("GET", path, HttpBody.EMPTY).fold(response -> parse(response, type), Result::err);
    }

    /**
     * Reads a document from one entry process.
     *
     * @param entry the operators' listener
     * @param path path and query
     * @param type the type of the document
     * @param <T> the type of the document
     */
    public <T> Result<T, ClientError> getFrom(URI entry, String path, Class<T> type) {
        return send(entry, "GET", path, HttpBody.EMPTY)
                .<Result<FullHttpResponse, ClientError>>fold(
                        OperatorClient::requireSuccess, failure -> Result.err(unreachable(entry, failure)))
                .fold(response -> parse(response, type), Result::err);
    }

    /**
     * Sends a document to the first entry process that responds.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param document the request body, or null for an empty body
     * @param type the type of the response
     * @param <T> the type of the response
     */
    public <T> Result<T, ClientError> send(String method, String path, Object document, Class<T> type) {
        HttpBody body = document == null ? HttpBody.EMPTY : HttpBody.of(Json.write(document));
        return sendToFirst(method, path, body).fold(response -> parse(response, type), Result::err);
    }

    @Override
    public void close() {
        httpClient.close();
    }

    private Result<FullHttpResponse, ClientError> sendToFirst(String method, String path, HttpBody body) {
        List<String> failures = new ArrayList<>();
        for (URI entry : entries) {
            Result<FullHttpResponse, HttpFailure> result = send(entry, method, path, body);
            if (result.value().isPresent()) {
                return requireSuccess(result.value().get());
            }
            failures.add(unreachable(entry, result.error().orElseThrow()).message());
        }
        return Result.err(ClientError.of(
                ExitCode.UNREACHABLE,
                failures.isEmpty()
                        ? "No entry process given; use --entry IP:port or GERANIUMSTAND_ENTRY."
                        : String.join("\n", failures)));
    }

    private Result<FullHttpResponse, HttpFailure> send(URI entry, String method, String path, HttpBody body) {
        CompletableFuture<Result<FullHttpResponse, HttpFailure>> response = new CompletableFuture<>();
        HttpRequest request = new HttpRequest(method, entry, path, List.of(), body, timeoutMillis, false)
                .withHeader("Authorization", "Bearer " + token);
        httpClient.send(request, response::complete);
        return response.join();
    }

    private static Result<FullHttpResponse, ClientError> requireSuccess(FullHttpResponse response) {
        if (response.status() < MIN_ERROR_STATUS) {
            return Result.ok(response);
        }
        return Result.err(toClientError(response));
    }

    private static ClientError toClientError(FullHttpResponse response) {
        try {
            Problem problem = Json.LENIENT.readValue(response.text(), Problem.class);
            return new ClientError(
                    ExitCode.REFUSED, "Refused (" + problem.reason() + "): " + problem.title(), problem.findings());
        } catch (JsonProcessingException _e) {
            return ClientError.of(ExitCode.REFUSED, "Refused with HTTP status " + response.status() + ".");
        }
    }

    private static <T> Result<T, ClientError> parse(FullHttpResponse response, Class<T> type) {
        try {
            return Result.ok(Json.LENIENT.readValue(response.text(), type));
        } catch (JsonProcessingException e) {
            return Result.err(ClientError.of(
                    ExitCode.REFUSED,
                    "The response cannot be parsed, client and server versions may differ: " + e.getOriginalMessage()));
        }
    }

    private static ClientError unreachable(URI entry, HttpFailure failure) {
        String cause =
                switch (failure) {
                    case NOT_CONNECTED -> "did not accept the connection";
                    case BROKEN -> "lost the connection before the response was complete";
                    case TIMED_OUT -> "did not send a complete response within the timeout";
                };
        return ClientError.of(ExitCode.UNREACHABLE, entry + " " + cause + ".");
    }
}
