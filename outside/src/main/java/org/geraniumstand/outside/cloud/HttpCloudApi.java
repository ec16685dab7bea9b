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
import org.geraniumstand.support.net.HttpAnswer;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpCalls;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/** Speaks the cloud's interface over HTTP; docs/INTERFACES-platform.md gives paths and JSON. */
public final class HttpCloudApi implements CloudApi {
    private static final String HOSTS_PATH = "/v1/cloud/hosts";
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final HttpCalls calls;
    private final URI origin;

    /**
     * Creates an adapter.
     *
     * @param calls makes the calls
     * @param origin where the cloud listens
     */
    public HttpCloudApi(HttpCalls calls, URI origin) {
        this.calls = calls;
        this.origin = origin;
    }

    @Override
    public void hosts(Consumer<Result<List<CloudHost>, CloudError>> callback) {
        calls.send(
                HttpRequest.get(origin, HOSTS_PATH, CALL_TIMEOUT_MILLIS),
                result -> callback.accept(result.fold(HttpCloudApi::parse, HttpCloudApi::unavailable)));
    }

    @Override
    public void start(HostOrder order, long fence, Consumer<Result<HostOrder, CloudError>> callback) {
        StartBody body = new StartBody(
                order.dataCentre(), order.hostClass(), order.reclaimable(), order.service(), order.version(), fence);
        calls.send(
                HttpRequest.put(origin, pathOf(order.host()), Json.write(body), CALL_TIMEOUT_MILLIS),
                result -> callback.accept(result.fold(answer -> settle(answer, order), HttpCloudApi::unavailable)));
    }

    @Override
    public void stop(HostId host, long fence, Consumer<Result<HostId, CloudError>> callback) {
        HttpRequest request = new HttpRequest(
                "DELETE",
                origin,
                pathOf(host) + "?fence=" + fence,
                List.of(),
                HttpBody.EMPTY,
                CALL_TIMEOUT_MILLIS,
                true);
        calls.send(
                request,
                result -> callback.accept(result.fold(
                        answer -> answer.status() == NOT_FOUND ? Result.ok(host) : settle(answer, host),
                        HttpCloudApi::unavailable)));
    }

    private static String pathOf(HostId host) {
        return HOSTS_PATH + "/" + host.value();
    }

    private static <T> Result<T, CloudError> unavailable(HttpFailure _failure) {
        return Result.err(CloudError.UNAVAILABLE);
    }

    private static <T> Result<T, CloudError> settle(HttpAnswer answer, T value) {
        return switch (answer.status()) {
            case OK -> Result.ok(value);
            case CONFLICT -> Result.err(CloudError.FENCED);
            case UNAVAILABLE -> Result.err(CloudError.START_REFUSED);
            default -> Result.err(CloudError.UNAVAILABLE);
        };
    }

    private static Result<List<CloudHost>, CloudError> parse(HttpAnswer answer) {
        if (answer.status() != OK) {
            return Result.err(CloudError.UNAVAILABLE);
        }
        return Json.read(answer.text(), HostsAnswer.class)
                .map(HostsAnswer::hosts)
                .mapError(_text -> CloudError.MALFORMED);
    }

    private record StartBody(
            DataCentreId dataCentre,
            String hostClass,
            boolean reclaimable,
            ServiceId service,
            VersionId version,
            long fence) {}

    private record HostsAnswer(List<CloudHost> hosts) {}
}
