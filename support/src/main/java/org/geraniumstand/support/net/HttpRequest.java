package org.geraniumstand.support.net;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * A call to make.
 *
 * @param method the HTTP method
 * @param origin scheme, IP number and port
 * @param path path and query
 * @param headers headers beside host and content length
 * @param body the body, empty for none
 * @param timeoutMillis milliseconds until the whole answer must be there
 * @param reuse whether a connection used a moment ago may carry it
 */
public record HttpRequest(
        String method,
        URI origin,
        String path,
        List<Header> headers,
        HttpBody body,
        long timeoutMillis,
        boolean reuse) {
    /** Copies the list. */
    public HttpRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns a call without a body.
     *
     * @param origin scheme, IP number and port
     * @param path path and query
     * @param timeoutMillis milliseconds until the whole answer must be there
     */
    public static HttpRequest get(URI origin, String path, long timeoutMillis) {
        return new HttpRequest("GET", origin, path, List.of(), HttpBody.EMPTY, timeoutMillis, true);
    }

    /**
     * Returns a call that puts a text.
     *
     * @param origin scheme, IP number and port
     * @param path path and query
     * @param text the body
     * @param timeoutMillis milliseconds until the whole answer must be there
     */
    public static HttpRequest put(URI origin, String path, String text, long timeoutMillis) {
        return new HttpRequest("PUT", origin, path, List.of(), HttpBody.of(text), timeoutMillis, true);
    }

    /**
     * Returns this call with one more header.
     *
     * @param name the header's name
     * @param value its value
     */
    public HttpRequest withHeader(String name, String value) {
        List<Header> more = new ArrayList<>(headers);
        more.add(new Header(name, value));
        return new HttpRequest(method, origin, path, more, body, timeoutMillis, reuse);
    }

    /**
     * A header.
     *
     * @param name its name
     * @param value its value
     */
    public record Header(String name, String value) {}
}
