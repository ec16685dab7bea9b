package org.geraniumstand.http.upstream;

import java.util.List;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/**
 * Describes a request to a backend server.
 *
 * @param address IP address of the server
 * @param port port of the server
 * @param method the HTTP method
 * @param path path and query string
 * @param headers headers other than host, content length and the attempt's id
 * @param attemptId id of this attempt; an answer that carries another id is not used
 * @param body the request body
 * @param limits the time limits of the attempt
 * @param protocol the header conventions of the server
 */
public record AttemptSpec(
        String address,
        int port,
        String method,
        String path,
        List<Header> headers,
        String attemptId,
        HttpBody body,
        AttemptLimits limits,
        ServerProtocol protocol) {
    /** Copies the list of headers. */
    public AttemptSpec {
        headers = List.copyOf(headers);
    }

    /**
     * Creates the description of a request to a server that uses the product's own header conventions.
     *
     * @param address IP address of the server
     * @param port port of the server
     * @param method the HTTP method
     * @param path path and query string
     * @param headers headers other than host, content length and the attempt's id
     * @param attemptId id of this attempt; an answer that carries another id is not used
     * @param body the request body
     * @param limits the time limits of the attempt
     */
    public AttemptSpec(
            String address,
            int port,
            String method,
            String path,
            List<Header> headers,
            String attemptId,
            HttpBody body,
            AttemptLimits limits) {
        this(address, port, method, path, headers, attemptId, body, limits, NativeServerProtocol.INSTANCE);
    }
}
