package org.geraniumstand.http.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** Copies the headers of a backend server's answer that are meant for the caller. */
public final class RelayedHeaders {
    static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    // Headers of one connection (RFC 9110, section 7.6.1), and those that are written anew.
    private static final Set<HttpString> OWN = Set.of(
            Headers.CONNECTION,
            Headers.TRANSFER_ENCODING,
            Headers.CONTENT_LENGTH,
            Headers.UPGRADE,
            Headers.TE,
            Headers.TRAILER,
            Headers.PROXY_AUTHENTICATE,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            REQUEST_ID);

    private RelayedHeaders() {}

    /**
     * Copies all but the headers of the connection.
     *
     * @param from the server's answer
     * @param to the answer to the caller
     */
    public static void copy(HeaderMap from, HeaderMap to) {
        for (HeaderValues values : from) {
            if (!OWN.contains(values.getHeaderName())) {
                to.remove(values.getHeaderName());
                to.addAll(values.getHeaderName(), values);
            }
        }
    }
}
