package org.geraniumstand.outside.engine;

import java.net.URI;
import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.EngineOrder;
import org.geraniumstand.model.capacity.EngineStatus;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/** Implements the engines' control API over HTTP; docs/INTERFACES-platform.md specifies its paths and JSON. */
public final class HttpEngineControl implements EngineControl {
    private static final String PATH = "/v1/engine";
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;

    private final AsyncHttpClient httpClient;

    /**
     * Creates the adapter.
     *
     * @param httpClient HTTP client that sends the requests
     */
    public HttpEngineControl(AsyncHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    @Override
    public void status(URI engine, Consumer<Result<EngineStatus, EngineError>> callback) {
        send(HttpRequest.get(engine, PATH, CALL_TIMEOUT_MILLIS), callback);
    }

    @Override
    public void order(
            URI engine, EngineOrder order, long fencingToken, Consumer<Result<EngineStatus, EngineError>> callback) {
        OrderRequest body =
                new OrderRequest(order.service(), order.version(), order.role(), order.adapters(), fencingToken);
        send(HttpRequest.put(engine, PATH, Json.write(body), CALL_TIMEOUT_MILLIS), callback);
    }

    private void send(HttpRequest request, Consumer<Result<EngineStatus, EngineError>> callback) {
        httpClient.send(
                request,
                result -> callback.accept(result.fold(HttpEngineControl::toResult, HttpEngineControl::unavailable)));
    }

    private static Result<EngineStatus, EngineError> unavailable(HttpFailure _failure) {
        return Result.err(EngineError.UNAVAILABLE);
    }

    private static Result<EngineStatus, EngineError> toResult(FullHttpResponse response) {
        return switch (response.status()) {
            case OK -> Json.read(response.text(), EngineStatus.class).mapError(_text -> EngineError.MALFORMED);
            case CONFLICT -> Result.err(EngineError.FENCED);
            case TOO_MANY_REQUESTS -> Result.err(EngineError.WEIGHTS_BUSY);
            default -> Result.err(EngineError.UNAVAILABLE);
        };
    }

    private record OrderRequest(
            ServiceId service, VersionId version, EngineOrder.Role role, List<String> adapters, long fence) {}
}
