package org.geraniumstand.support.net;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Describes an HTTP request to send.
 *
 * @param method the HTTP method
 * @param origin scheme, IP address and port of the server
 * @param path path and query
 * @param headers headers other than {@code Host} and {@code Content-Length}
 * @param body the request body, empty for none
 * @param timeoutMillis time within which the complete response must arrive, in milliseconds
 * @param reuse whether the request may be sent on a recently used idle connection
 */
public record HttpRequest(
        String method,
        URI origin,
        String path,
        List<Header> headers,
        HttpBody body,
        long timeoutMillis,
        boolean reuse) {
    /** Makes a defensive copy of the list. */
    public HttpRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns a GET request without a body.
     *
     * @param origin scheme, IP address and port of the server
     * @param path path and query
     * @param timeoutMillis time within which the complete response must arrive, in milliseconds
     */
    public static HttpRequest get(URI origin, String path, long timeoutMillis) {
        return new HttpRequest("GET", origin, path, List.of(), HttpBody.EMPTY, timeoutMillis, true);
    }

    /**
     * Returns a PUT request with a text as its body.
     *
     * @param origin scheme, IP address and port of the server
     * @param path path and query
     * @param text text of the request body
     * @param timeoutMillis time within which the complete response must arrive, in milliseconds
     */
    public static HttpRequest put(URI origin, String path, String text, long timeoutMillis) {
        return new HttpRequest("PUT", origin, path, List.of(), HttpBody.of(text), timeoutMillis, true);
    }

    /**
     * Returns a copy of this request with one more header.
     *
     * @param name name of the header
     * @param value value of the header
     */
    public HttpRequest withHeader(String name, String value) {
        List<Header> more = new ArrayList<>(headers);
        more.add(new Header(name, value));
        return new HttpRequest(method, origin, path, more, body, timeoutMillis, reuse);
    }

    /**
     * Holds a header of a request.
     *
     * @param name name of the header
     * @param value value of the header
     */
    public record Header(String name, String value) {}
}
