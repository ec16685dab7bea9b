package org.geraniumstand.outside.cloud;

import java.net.URI;
import java.util.List;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/** Implements the cloud provider's API over HTTP; docs/INTERFACES-platform.md specifies its paths and JSON. */
public final class HttpCloudApi implements CloudApi {
    private static final String HOSTS_PATH = "/v1/cloud/hosts";
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final AsyncHttpClient httpClient;
    private final URI origin;

    /**
     * Creates the adapter.
     *
     * @param httpClient HTTP client that sends the requests
     * @param origin scheme, IP address and port of the cloud provider's API
     */
    public HttpCloudApi(AsyncHttpClient httpClient, URI origin) {
        this.httpClient = httpClient;
        this.origin = origin;
    }

    @Override
    public void hosts(Consumer<Result<List<CloudHost>, CloudError>> callback) {
        httpClient.send(
                HttpRequest.get(origin, HOSTS_PATH, CALL_TIMEOUT_MILLIS),
                result -> callback.accept(result.fold(HttpCloudApi::parse, HttpCloudApi::unavailable)));
    }

    @Override
    public void start(HostOrder order, long fencingToken, Consumer<Result<HostOrder, CloudError>> callback) {
        StartRequest body = new StartRequest(
                order.dataCentre(),
                order.hostClass(),
                order.reclaimable(),
                order.service(),
                order.version(),
                fencingToken);
        httpClient.send(
                HttpRequest.put(origin, pathOf(order.host()), Json.write(body), CALL_TIMEOUT_MILLIS),
                result ->
                        callback.accept(result.fold(response -> toResult(response, order), HttpCloudApi::unavailable)));
    }

    @Override
    public void stop(HostId host, long fencingToken, Consumer<Result<HostId, CloudError>> callback) {
        HttpRequest request = new HttpRequest(
                "DELETE",
                origin,
                pathOf(host) + "?fence=" + fencingToken,
                List.of(),
                HttpBody.EMPTY,
                CALL_TIMEOUT_MILLIS,
                true);
        httpClient.send(
                request,
                result -> callback.accept(result.fold(
                        response -> response.status() == NOT_FOUND ? Result.ok(host) : toResult(response, host),
                        HttpCloudApi::unavailable)));
    }

    private static String pathOf(HostId host) {
        return HOSTS_PATH + "/" + host.value();
    }

    private static <T> Result<T, CloudError> unavailable(HttpFailure _failure) {
        return Result.err(CloudError.UNAVAILABLE);
    }

    private static <T> Result<T, CloudError> toResult(FullHttpResponse response, T value) {
        return switch (response.status()) {
            case OK -> Result.ok(value);
            case CONFLICT -> Result.err(CloudError.FENCED);
            case UNAVAILABLE -> Result.err(CloudError.START_REFUSED);
            default -> Result.err(CloudError.UNAVAILABLE);
        };
    }

    private static Result<List<CloudHost>, CloudError> parse(FullHttpResponse response) {
        if (response.status() != OK) {
            return Result.err(CloudError.UNAVAILABLE);
        }
        return Json.read(response.text(), HostsResponse.class)
                .map(HostsResponse::hosts)
                .mapError(_text -> CloudError.MALFORMED);
    }

    private record StartRequest(
            DataCentreId dataCentre,
            String hostClass,
            boolean reclaimable,
            ServiceId service,
            VersionId version,
            long fence) {}

    private record HostsResponse(List<CloudHost> hosts) {}
}
