package org.geraniumstand.outside.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Implements the store with the HTTP API of Consul's key-value store and sessions.
 *
 * <p>Source: Consul's HTTP API documentation, "KV Store", "Session" and "Blocking Queries".
 */
public final class HttpConfigurationStore implements ConfigurationStore {
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long MAX_WATCH_MILLIS = 2_500;
    private static final long WATCH_TIMEOUT_MILLIS = 4_000;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;
    private static final String INDEX_HEADER = "X-Consul-Index";

    private final AsyncHttpClient httpClient;
    private final URI origin;

    /**
     * Creates the adapter.
     *
     * @param httpClient HTTP client that sends the requests
     * @param origin scheme, IP address and port of the store
     */
    public HttpConfigurationStore(AsyncHttpClient httpClient, URI origin) {
        this.httpClient = httpClient;
        this.origin = origin;
    }

    @Override
    public void read(String key, Consumer<Result<Optional<StoredValue>, StoreError>> callback) {
        get(
                "/v1/kv/" + key,
                CALL_TIMEOUT_MILLIS,
                result -> callback.accept(result.fold(
                        response -> entries(response)
                                .map(list -> list.stream().findFirst().map(Entry::storedValue)),
                        Result::err)));
    }

    @Override
    public void list(String prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        get(
                "/v1/kv/" + prefix + "?recurse=true",
                CALL_TIMEOUT_MILLIS,
                result -> callback.accept(result.fold(HttpConfigurationStore::entries, Result::err)));
    }

    @Override
    public void watch(String prefix, long index, Consumer<Result<Watched, StoreError>> callback) {
        String path = "/v1/kv/" + prefix + "?recurse=true&index=" + index + "&wait=" + MAX_WATCH_MILLIS + "ms";
        get(
                path,
                WATCH_TIMEOUT_MILLIS,
                result -> callback.accept(result.fold(
                        response -> entries(response).map(list -> new Watched(list, indexOf(response))), Result::err)));
    }

    @Override
    public void compareAndSwap(String key, String value, long index, Consumer<Result<Boolean, StoreError>> callback) {
        put(
                "/v1/kv/" + key + "?cas=" + index,
                value,
                result -> callback.accept(result.fold(HttpConfigurationStore::parseBoolean, Result::err)));
    }

    @Override
    public void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback) {
        put(
                "/v1/kv/" + key + "?acquire=" + lease.id(),
                value,
                result -> callback.accept(result.fold(HttpConfigurationStore::parseBoolean, Result::err)));
    }

    @Override
    public void openLease(long ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        String body = Json.write(new SessionRequest(ttlMillis + "ms", "delete", "0s"));
        put(
                "/v1/session/create",
                body,
                result -> callback.accept(result.fold(
                        response -> parse(response, SessionResponse.class).map(session -> new Lease(session.id())),
                        Result::err)));
    }

    @Override
    public void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        put(
                "/v1/session/renew/" + lease.id(),
                "",
                result -> callback.accept(result.fold(
                        response ->
                                response.status() == NOT_FOUND ? Result.err(StoreError.LEASE_LOST) : Result.ok(lease),
                        Result::err)));
    }

    @Override
    public void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        put("/v1/session/destroy/" + lease.id(), "", result -> callback.accept(result.map(_response -> lease)));
    }

    @Override
    public void close() {
        // The HTTP client is closed by its creator.
    }

    private void get(String path, long timeoutMillis, Consumer<Result<FullHttpResponse, StoreError>> callback) {
        httpClient.send(HttpRequest.get(origin, path, timeoutMillis), result -> callback.accept(checkStatus(result)));
    }

    private void put(String path, String body, Consumer<Result<FullHttpResponse, StoreError>> callback) {
        httpClient.send(
                HttpRequest.put(origin, path, body, CALL_TIMEOUT_MILLIS),
                result -> callback.accept(checkStatus(result)));
    }

    private static Result<FullHttpResponse, StoreError> checkStatus(Result<FullHttpResponse, HttpFailure> result) {
        return result.fold(
                response -> response.status() == OK || response.status() == NOT_FOUND
                        ? Result.ok(response)
                        : Result.err(StoreError.UNAVAILABLE),
                _failure -> Result.err(StoreError.UNAVAILABLE));
    }

    private static Result<List<Entry>, StoreError> entries(FullHttpResponse response) {
        if (response.status() == NOT_FOUND) {
            return Result.ok(List.of());
        }
        return parse(response, KvPair[].class)
                .map(pairs -> Stream.of(pairs).map(KvPair::entry).toList());
    }

    private static Result<Boolean, StoreError> parseBoolean(FullHttpResponse response) {
        String text = response.text().trim();
        if (text.equals("true")) {
            return Result.ok(true);
        }
        return text.equals("false") ? Result.ok(false) : Result.err(StoreError.MALFORMED);
    }

    private static long indexOf(FullHttpResponse response) {
        try {
            return response.header().apply(INDEX_HEADER).map(Long::parseLong).orElse(0L);
        } catch (NumberFormatException _e) {
            return 0;
        }
    }

    private static <T> Result<T, StoreError> parse(FullHttpResponse response, Class<T> type) {
        try {
            return Result.ok(Json.LENIENT.readValue(response.body().stream(), type));
        } catch (IOException _e) {
            return Result.err(StoreError.MALFORMED);
        }
    }

    private record SessionRequest(
            @JsonProperty("TTL") String ttl,
            @JsonProperty("Behavior") String behavior,
            @JsonProperty("LockDelay") String lockDelay) {}

    private record SessionResponse(@JsonProperty("ID") String id) {}

    private record KvPair(
            @JsonProperty("Key") String key,
            @JsonProperty("Value") String value,
            @JsonProperty("ModifyIndex") long modifyIndex) {
        private Entry entry() {
            String text = value == null ? "" : new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
            return new Entry(key, new StoredValue(text, modifyIndex));
        }
    }
}
