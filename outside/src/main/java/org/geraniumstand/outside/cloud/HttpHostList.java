package org.geraniumstand.outside.cloud;

import java.net.URI;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpRequest;

/** Reads the platform's list of hosts over HTTP. */
public final class HttpHostList implements HostList {
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;

    private final AsyncHttpClient httpClient;
    private final URI origin;

    /**
     * Creates the adapter.
     *
     * @param httpClient HTTP client that sends the requests
     * @param origin scheme, IP address and port of the platform
     */
    public HttpHostList(AsyncHttpClient httpClient, URI origin) {
        this.httpClient = httpClient;
        this.origin = origin;
    }

    @Override
    public void read(Consumer<Result<Listing, CloudError>> callback) {
        httpClient.send(
                HttpRequest.get(origin, "/v1/hosts", CALL_TIMEOUT_MILLIS),
                result -> callback.accept(
                        result.fold(HttpHostList::parse, _failure -> Result.err(CloudError.UNAVAILABLE))));
    }

    @Override
    public void close() {
        // The HTTP client is closed by its creator.
    }

    private static Result<Listing, CloudError> parse(FullHttpResponse response) {
        if (response.status() != OK) {
            return Result.err(CloudError.UNAVAILABLE);
        }
        return HostListReader.read(response.text());
    }
}
