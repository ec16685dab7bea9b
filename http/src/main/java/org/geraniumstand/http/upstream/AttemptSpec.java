package org.geraniumstand.http.upstream;

import java.util.List;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/**
 * What to send to a backend server.
 *
 * @param address IP number that it listens on
 * @param port port that it listens on
 * @param method the HTTP method
 * @param path path and query
 * @param headers headers beside host, content length and identity
 * @param identity names this attempt; the answer must carry it or no identity at all
 * @param body the body
 * @param limits its time limits
 * @param protocol how the server is spoken to
 */
public record AttemptSpec(
        String address,
        int port,
        String method,
        String path,
        List<Header> headers,
        String identity,
        HttpBody body,
        AttemptLimits limits,
        ServerProtocol protocol) {
    /** Copies the list. */
    public AttemptSpec {
        headers = List.copyOf(headers);
    }

    /**
     * Creates the description of an attempt at a server that speaks the product's own interface.
     *
     * @param address IP number that it listens on
     * @param port port that it listens on
     * @param method the HTTP method
     * @param path path and query
     * @param headers headers beside host, content length and identity
     * @param identity names this attempt; the answer must carry it or no identity at all
     * @param body the body
     * @param limits its time limits
     */
    public AttemptSpec(
            String address,
            int port,
            String method,
            String path,
            List<Header> headers,
            String identity,
            HttpBody body,
            AttemptLimits limits) {
        this(address, port, method, path, headers, identity, body, limits, OwnServerProtocol.INSTANCE);
    }
}
